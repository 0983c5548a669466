package term_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// pollLosingAgents loses all polls of one worker.
type pollLosingAgents struct {
	*fake.Agents
	worker string
}

func (a *pollLosingAgents) Poll(ctx context.Context, to agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	if to.Worker == a.worker {
		return agent.PollResponse{}, &agent.LostError{Worker: to.Worker}
	}
	return a.Agents.Poll(ctx, to, poll)
}

// Guards against a task of a cancelled job that runs on: the owner reads the cancel while it loads, and the answers of the task's
// worker to polls are lost.
func TestStopThatIsDecidedWhileATermLoadsIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		stop := s.elect("a")
		s.submit()
		s.eventually("the task runs", s.running)
		stop()
		s.store.Put(work.CancelKey(job), nil)
		s.electWith("b", &pollLosingAgents{Agents: s.agents, worker: s.agents.WorkerOf(task)}, nil)
		time.Sleep(time.Second)
		assert.Assert(t, !s.running())
	})
}
