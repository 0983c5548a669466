package renew

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"storj.io/drpc"
)

// Request is an owner's word on the leases of a data centre.
type Request struct {
	// Life names the life of the instance that the request is meant for; zero only asks for the clock.
	Life int64
	// Token is the owner's fencing token, Number rises with each request of a term.
	Token  int64
	Number int64
	// Until is when the permission ends, on the instance's clock.
	Until time.Duration
	// Lease is how long a prolonged lease lasts.
	Lease   time.Duration
	Workers []agent.Target
}

// Reply says what the instance knows.
type Reply struct {
	Life int64
	// Clock is the instance's own clock when it answered.
	Clock time.Duration
	// Token and Number are those of the request that holds.
	Token  int64
	Number int64
	// Prolonged says how long ago each worker's lease was last prolonged on behalf of Token.
	Prolonged map[string]time.Duration
}

// Handler takes an owner's requests.
type Handler interface {
	// Allow replaces what may be prolonged.
	Allow(ctx context.Context, request *Request) (*Reply, error)
}

const methodAllow = "/lentildeck.Renew/Allow"

// Description lists the methods for drpc.
type Description struct{}

// NumMethods returns the number of methods.
func (Description) NumMethods() int { return 1 }

// Method describes the nth method.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	return methodAllow, link.Codec{}, link.Receive(Handler.Allow), Handler.Allow, true
}

// Client sends an owner's requests.
type Client struct{ Link *link.Client }

// Allow calls the instance at the address; ctx must have a deadline.
func (c *Client) Allow(ctx context.Context, address string, request *Request) (*Reply, error) {
	return link.Invoke[Request, Reply](ctx, c.Link, address, methodAllow, request)
}
