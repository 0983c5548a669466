package probe

import (
	"context"
	"sync/atomic"

	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/sourcegraph/conc"
)

// maxAsked is how many instances are asked at a time.
const maxAsked = 4

// Result counts the instances that were asked, that have answered, and that are able to read.
type Result struct{ Asked, Answered, Able int }

// Client asks other instances, some at a time and all in turn.
type Client struct {
	Link *link.Client
	// Addresses returns the addresses of the other instances.
	Addresses func() []string

	next int
}

// Ask asks some of the other instances; ctx must have a deadline.
func (c *Client) Ask(ctx context.Context, request *Request) Result {
	return c.ask(func(address string) (*Reply, error) {
		return link.Invoke[Request, Reply](ctx, c.Link, address, methodProbe, request)
	})
}

func (c *Client) ask(call func(address string) (*Reply, error)) Result {
	addresses := c.Addresses()
	asked := min(len(addresses), maxAsked)
	var answered, able atomic.Int64
	var calls conc.WaitGroup
	for range asked {
		address := addresses[c.next%len(addresses)]
		c.next++
		calls.Go(func() {
			reply, err := call(address)
			if err != nil {
				return
			}
			answered.Add(1)
			if reply.Able {
				able.Add(1)
			}
		})
	}
	calls.Wait()
	return Result{Asked: asked, Answered: int(answered.Load()), Able: int(able.Load())}
}
