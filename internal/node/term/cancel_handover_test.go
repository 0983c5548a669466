package term_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// stopLosingAgents loses all stops while losing is true.
type stopLosingAgents struct {
	*fake.Agents
	losing atomic.Bool
}

func (a *stopLosingAgents) Stop(ctx context.Context, to agent.Target, stop agent.Stop) error {
	if a.losing.Load() {
		return &agent.LostError{Worker: to.Worker, Unsent: true}
	}
	return a.Agents.Stop(ctx, to, stop)
}

// Guards against a task of a cancelled job that runs on: the owner is lost after the end of the job is durable and before the
// stop reaches the worker.
func TestSuccessorStopsTheTasksOfAJobThatWasCancelledBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		agents := &stopLosingAgents{Agents: s.agents}
		agents.losing.Store(true)
		stop := s.electWith("a", agents, nil)
		s.submit()
		s.eventually("the task runs", s.running)
		s.store.Put(work.CancelKey(job), nil)
		s.eventually("the end of the job is durable", func() bool { return s.record().Phase == work.Cancelled })
		stop()
		assert.Assert(t, s.running())
		agents.losing.Store(false)
		s.electWith("b", agents, nil)
		// Later, the task would be stopped for lack of progress.
		time.Sleep(time.Second)
		assert.Assert(t, !s.running())
	})
}
