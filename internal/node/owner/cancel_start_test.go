package owner_test

import (
	"context"
	"sync"
	"testing"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"gotest.tools/v3/assert"
)

// startHookLink calls hook before it passes on the first request with a start.
type startHookLink struct {
	worker.Link
	once sync.Once
	hook func()
}

func (l *startHookLink) Sync(ctx context.Context, request worker.Request) (worker.Response, error) {
	if len(request.Start) > 0 {
		l.once.Do(l.hook)
	}
	return l.Link.Sync(ctx, request)
}

// Guards against a cancelled job that runs on: the owner reads the cancel while the gang's start is in flight.
func TestCancelThatIsReadDuringAStartStopsTheGang(t *testing.T) {
	env := newTestEnv(t)
	link := &startHookLink{Link: env.link}
	a := env.instanceWith("a", link)
	link.hook = func() {
		assert.Check(t, a.ledger.Cancel(context.Background(), "j"))
		assert.Check(t, a.ledger.Load(context.Background()))
		a.Step(context.Background(), env.clock.now())
	}
	a.submit(job("j", 2, "1h"))
	env.waitFor("cancelled", func() bool { return a.record("j").Outcome == queue.Cancelled }, a)
}
