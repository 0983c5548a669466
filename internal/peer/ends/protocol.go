package ends

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"storj.io/drpc"
)

// Request asks the owner for the end of a job.
type Request struct{ Job string }

// Reply reports the final phase of the job if Ended is true, which no later owner contradicts.
type Reply struct {
	Ended bool
	Phase work.Phase
}

// Handler receives the questions.
type Handler interface {
	// End returns the job's final phase if this instance is the owner and may show it.
	End(ctx context.Context, request *Request) (*Reply, error)
}

const methodEnd = "/lentildeck.Ends/End"

// Description describes the service to drpc.
type Description struct{}

// NumMethods returns 1, the number of methods.
func (Description) NumMethods() int { return 1 }

// Method describes method n, counted from zero; the last result is false if there is none.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	return methodEnd, link.Codec{}, link.Receive(Handler.End), Handler.End, true
}

// callTimeout limits one question; an owner that does not answer within it is most likely cut off.
const callTimeout = 200 * time.Millisecond

// Client asks the owner.
type Client struct {
	// Local answers if this instance is the owner.
	Local Handler
	// OwnerAddress returns the address of the owner, or an empty string if that is unknown.
	OwnerAddress func() string
	Link         *link.Client
}

// End returns the job's final phase, or false if the owner does not know it or can't be asked.
func (c *Client) End(ctx context.Context, job string) (work.Phase, bool) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &Request{Job: job}
	if reply, err := c.Local.End(call, request); err == nil && reply.Ended {
		return reply.Phase, true
	}
	address := c.OwnerAddress()
	if address == "" {
		return 0, false
	}
	reply, err := link.Invoke[Request, Reply](call, c.Link, address, methodEnd, request)
	if err != nil || !reply.Ended {
		return 0, false
	}
	return reply.Phase, true
}
