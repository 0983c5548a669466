package grants

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"storj.io/drpc"
)

// Request asks an instance for the leases that it has granted; Token is the fencing token of the new owner that asks.
type Request struct{ Token int64 }

// Reply reports the leases of an instance's last term, which is over.
type Reply struct {
	// Token is the fencing token of that term; zero if the instance has had none.
	Token int64
	// Revision is a revision of the store at which the instance was certainly the owner.
	Revision int64
	// ByWorker maps workers to the time until all leases of that term and of those before have expired, Others is that time for all
	// other workers.
	ByWorker map[string]time.Duration
	Others   time.Duration
	// Exits are the exits that workers have listed and that may not be on record.
	Exits []group.WorkerExit
}

// Handler receives the questions of new owners.
type Handler interface {
	// Grants ends a term that is older than the request and reports its leases.
	Grants(ctx context.Context, request *Request) (*Reply, error)
}

const methodReport = "/lentildeck.Grants/Report"

// Description describes the service to drpc.
type Description struct{}

// NumMethods returns 1, the number of methods.
func (Description) NumMethods() int { return 1 }

// Method describes method n, counted from zero; the last result is false if there is none.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	return methodReport, link.Codec{}, link.Receive(Handler.Grants), Handler.Grants, true
}

// UnknownInstanceError means that an instance is not listed, so it can't be asked.
type UnknownInstanceError struct{ Instance string }

// Error names the instance.
func (e *UnknownInstanceError) Error() string {
	return "grants: no address is known of instance " + e.Instance
}

// Client asks other instances.
type Client struct {
	Link *link.Client
	// AddressOf returns the address of an instance, or an empty string.
	AddressOf func(instance string) string
}

// Grants asks the instance of that name; ctx must have a deadline.
func (c *Client) Grants(ctx context.Context, instance string, request *Request) (*Reply, error) {
	address := c.AddressOf(instance)
	if address == "" {
		return nil, &UnknownInstanceError{Instance: instance}
	}
	return link.Invoke[Request, Reply](ctx, c.Link, address, methodReport, request)
}
