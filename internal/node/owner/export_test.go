package owner

import (
	"context"
	"runtime"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
)

// lossy delivers everything but start orders.
type dropStartsLink struct{ worker.Link }

func (l dropStartsLink) Sync(ctx context.Context, request worker.Request) (worker.Response, error) {
	if len(request.Start) > 0 {
		return worker.Response{}, &worker.UnreachableError{Worker: request.Worker, Cause: "test drops start orders"}
	}
	return l.Link.Sync(ctx, request)
}

// LoseStarts makes start orders vanish on the way to the workers, and stop orders too.
func (o *Owner) DropStartOrders() { o.cfg.Link = dropStartsLink{Link: o.cfg.Link} }

// Settle waits until the calls in the background that a step began have come as far as they can without more time.
func (o *Owner) WaitIdle() {
	for o.activeCalls.Load() > 0 {
		runtime.Gosched()
	}
}
