package extend

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"storj.io/drpc"
)

// Request permits a lease proxy to extend the leases of workers in its data centre.
type Request struct {
	// Life is the incarnation of the instance that the request is meant for; with zero the request only asks for the clock.
	Life int64
	// Token is the owner's fencing token; Number increases with each request of a term.
	Token  int64
	Number int64
	// Until is when the permission ends, on the lease proxy's clock.
	Until time.Duration
	// Lease is the duration of an extended lease.
	Lease   time.Duration
	Workers []agent.Target
}

// Reply reports the lease proxy's clock, its active request and the leases that it has extended.
type Reply struct {
	// Life is the incarnation of the replying instance.
	Life int64
	// Clock is the lease proxy's clock when it replied.
	Clock time.Duration
	// Token and Number are those of the active request.
	Token  int64
	Number int64
	// Prolonged maps each worker to the time since its lease was last extended on behalf of Token.
	Prolonged map[string]time.Duration
}

// Handler receives an owner's requests.
type Handler interface {
	// Allow replaces the permission to extend leases.
	Allow(ctx context.Context, request *Request) (*Reply, error)
}

const methodAllow = "/lentildeck.Renew/Allow"

// Description describes the lease extension service to drpc.
type Description struct{}

// NumMethods returns 1, the number of methods.
func (Description) NumMethods() int { return 1 }

// Method describes method n, counted from zero; the last result is false if there is none.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	return methodAllow, link.Codec{}, link.Receive(Handler.Allow), Handler.Allow, true
}

// Client sends an owner's requests to lease proxies.
type Client struct{ Link *link.Client }

// Allow sends the request to the instance at the address; ctx must have a deadline.
func (c *Client) Allow(ctx context.Context, address string, request *Request) (*Reply, error) {
	return link.Invoke[Request, Reply](ctx, c.Link, address, methodAllow, request)
}
