package term_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// slowStopAgents takes a while for each stop and counts how many are under way at most on one worker, and how many there were.
type slowStopAgents struct {
	*fake.Agents
	mu       sync.Mutex
	underWay map[string]int
	most     int
	all      int
}

func (a *slowStopAgents) Stop(ctx context.Context, to agent.Target, stop agent.Stop) error {
	a.mu.Lock()
	a.underWay[to.Worker]++
	a.most, a.all = max(a.most, a.underWay[to.Worker]), a.all+1
	a.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	a.mu.Lock()
	a.underWay[to.Worker]--
	a.mu.Unlock()
	return a.Agents.Stop(ctx, to, stop)
}

// Guards against a flood of stops to a worker after a change of owner: the tasks of ended jobs are stopped in the first decision.
func TestSuccessorLimitsItsStopsToEachWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		const tasks = 40
		spec := work.Spec{Job: job, Queue: "plan", Steps: []work.Step{{Count: tasks, MilliCores: 100}}, Accepted: time.Now()}
		record := work.Record{Phase: work.Cancelled}
		for n := range tasks {
			id := fmt.Sprintf("w%d", n%2+1)
			record.Groups = append(record.Groups, work.GroupRecord{Run: 1, Workers: []string{id}})
			assert.NilError(t, s.agents.Start(t.Context(), agent.Target{Worker: id}, agent.Start{Task: fmt.Sprintf("%s.0.0.%d", job, n), Run: 1}))
		}
		data, err := spec.Encode()
		assert.NilError(t, err)
		s.store.Put(work.SpecKey(job), data)
		data, err = record.Encode()
		assert.NilError(t, err)
		s.store.Put(work.RecordKey(job), data)
		agents := &slowStopAgents{Agents: s.agents, underWay: make(map[string]int)}
		s.electWith("a", agents, nil)
		time.Sleep(time.Second)
		for n := range tasks {
			assert.Equal(t, s.agents.WorkerOf(fmt.Sprintf("%s.0.0.%d", job, n)), "")
		}
		assert.Equal(t, s.agents.UnacknowledgedExits(), 0)
		agents.mu.Lock()
		defer agents.mu.Unlock()
		assert.Assert(t, agents.most <= 2, "%d stops at a time", agents.most)
		// A listing that crosses a stop may order it again.
		assert.Assert(t, agents.all < tasks+tasks/4, "%d stops", agents.all)
	})
}
