package owner

import (
	"context"
	"runtime"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
)

// dropStartsLink fails every request that contains start orders and passes on the others.
type dropStartsLink struct{ worker.Link }

func (l dropStartsLink) Sync(ctx context.Context, request worker.Request) (worker.Response, error) {
	if len(request.Start) > 0 {
		return worker.Response{}, &worker.UnreachableError{Worker: request.Worker, Cause: "test drops start orders"}
	}
	return l.Link.Sync(ctx, request)
}

// DropStartOrders makes every request that contains start orders fail before it reaches the worker.
func (o *Owner) DropStartOrders() { o.cfg.Link = dropStartsLink{Link: o.cfg.Link} }

// WaitIdle waits until no background call is active, except those that wait before a retry.
func (o *Owner) WaitIdle() {
	for o.activeCalls.Load() > 0 {
		runtime.Gosched()
	}
}
