package owner_test

import (
	"context"
	"testing"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"gotest.tools/v3/assert"
)

// failedStartLink fails every request with a start before it reaches the worker, and calls hook before.
type failedStartLink struct {
	worker.Link
	hook func()
}

func (l *failedStartLink) Sync(ctx context.Context, request worker.Request) (worker.Response, error) {
	if len(request.Start) > 0 {
		l.hook()
		return worker.Response{}, &worker.UnreachableError{Worker: request.Worker, Cause: "test drops start orders"}
	}
	return l.Link.Sync(ctx, request)
}

// Guards against a job that is interrupted though it never ran: its owner acknowledges the workers' reports of that, and is lost
// before the job's return to the queue is recorded.
func TestJobThatNeverRanOutlivesTheOwnerThatAbortedItsStart(t *testing.T) {
	env := newTestEnv(t)
	link := &failedStartLink{Link: env.link, hook: func() { env.kv.SetFault(fake.Fault{Down: true}) }}
	a, b := env.instanceWith("a", link), env.instance("b")
	spec := job("tally", 2, "2s")
	spec.Idempotent = false
	a.submit(spec)
	for range 30 {
		env.step(a)
	}
	a.paused = true
	env.kv.SetFault(fake.Fault{})
	env.waitFor("ended", func() bool { return b.record("tally").Phase == queue.Ended }, b)
	assert.Equal(t, b.record("tally").Outcome, queue.Finished)
	env.assertStartedOnce()
}
