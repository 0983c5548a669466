package world

import (
	"context"
	"time"
)

// CallPeer makes a call to another instance, which executes it and answers after Config.PeerDelay.
func CallPeer[T any](ctx context.Context, p *Process, instance, name string, execute func() (T, error)) (T, error) {
	var none T
	c, err := p.make(ctx, &call{
		from: p, peer: instance, name: name + " " + instance, answer: make(chan struct{}),
		execute: func(c *call, _ time.Time) bool {
			reply, err := execute()
			c.set(reply, err)
			return true
		},
	})
	if err != nil {
		return none, err
	}
	return c.value.(T), nil
}
