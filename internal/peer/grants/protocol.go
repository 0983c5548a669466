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

// Exits are exits that an owner has heard of and could not record for a while; Token is its fencing token.
type Exits struct {
	Token int64
	// First is the index of the first of them among all that the owner leaves; with zero they replace those that were left before.
	First int
	Exits []group.WorkerExit
	// Sightings are those of the instance that returns the exits, the oldest first.
	Sightings []Sighting
}

// Sighting is a state of the owner's key: at least Ago before the reply the store had the revision, and there was no owner, or one that
// limits its leases if Limits is true.
type Sighting struct {
	Revision int64
	Ago      time.Duration
	Limits   bool
}

// Kept is the answer to Exits; Count is the number of exits of that owner that the instance has.
type Kept struct{ Count int }

// Handler receives the questions of new owners, and what owners leave with other instances.
type Handler interface {
	// Grants ends a term that is older than the request and reports its leases.
	Grants(ctx context.Context, request *Request) (*Reply, error)
	// Keep keeps the exits unless there are some before them that it does not have, or some of a later owner.
	Keep(ctx context.Context, exits *Exits) (*Kept, error)
	// KeptExits returns the exits that an owner with a lower token than the request's has left, and the instance's sightings.
	KeptExits(ctx context.Context, request *Request) (*Exits, error)
}

const (
	methodReport = "/lentildeck.Grants/Report"
	methodKeep   = "/lentildeck.Grants/Keep"
	methodKept   = "/lentildeck.Grants/Kept"
)

// Description describes the service to drpc.
type Description struct{}

// NumMethods returns 3, the number of methods.
func (Description) NumMethods() int { return 3 }

// Method describes method n, counted from zero; the last result is false if there is none.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return methodReport, link.Codec{}, link.Receive(Handler.Grants), Handler.Grants, true
	case 1:
		return methodKeep, link.Codec{}, link.Receive(Handler.Keep), Handler.Keep, true
	case 2:
		return methodKept, link.Codec{}, link.Receive(Handler.KeptExits), Handler.KeptExits, true
	default:
		return "", nil, nil, nil, false
	}
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

// Keep leaves exits with the instance at the address; ctx must have a deadline.
func (c *Client) Keep(ctx context.Context, address string, exits *Exits) (*Kept, error) {
	return link.Invoke[Exits, Kept](ctx, c.Link, address, methodKeep, exits)
}

// KeptExits asks the instance at the address for the exits that earlier owners have left with it; ctx must have a deadline.
func (c *Client) KeptExits(ctx context.Context, address string, request *Request) (*Exits, error) {
	return link.Invoke[Request, Exits](ctx, c.Link, address, methodKept, request)
}
