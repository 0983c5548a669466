package owner_test

import (
	"context"
	"sync"
	"testing"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"gotest.tools/v3/assert"
)

// lossyLink carries out every call, but loses the responses of one worker.
type lossyLink struct {
	*fake.Workers

	mu     sync.Mutex
	losing string
}

func (l *lossyLink) lose(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losing = worker
}

func (l *lossyLink) Sync(ctx context.Context, request worker.Request) (worker.Response, error) {
	response, err := l.Workers.Sync(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.losing == request.Worker {
		return worker.Response{}, &worker.UnreachableError{Worker: request.Worker, Cause: "the response was lost"}
	}
	return response, err
}

// Guards against two attempts at a time: calls whose responses are lost renew a worker's lease, and then it is cut off.
func TestLeaseIsCountedFromTheLastCallThatMayHaveRenewedIt(t *testing.T) {
	env := newTestEnv(t)
	a := env.instance("a")
	a.submit(job("j", 2, "30s"))
	env.waitFor("running", func() bool { return len(env.startCounts()) == 2 }, a)
	first := a.record("j").Workers[0]
	env.link.lose(first)
	for range 45 {
		env.step(a)
	}
	env.workers.SetDown(first, true)
	env.waitFor("the second attempt runs", func() bool { return len(env.startCounts()) == 4 }, a)
	env.workers.SetDown(first, false)
	response, err := env.workers.Sync(t.Context(), worker.Request{Worker: first, Epoch: 1 << 40})
	assert.NilError(t, err)
	for _, task := range response.Tasks {
		assert.Check(t, task.Attempt != 1 || task.Phase.Ended(), "attempt 1 is %s", task.Phase)
	}
}
