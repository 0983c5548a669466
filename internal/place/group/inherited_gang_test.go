package group_test

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// inheritGang loads a gang that an earlier owner started on two workers, neither of which has answered this owner.
func (c *cluster) inheritGang() *group.Job {
	workers := []string{"new-0", "new-1"}
	for _, id := range workers {
		info := c.infos[0]
		info.ID, info.Address = id, id
		c.infos = append(c.infos, info)
		c.running[id] = make(map[string]group.RunningEntry)
	}
	c.engine.SetWorkers(c.infos, c.now)
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Workers: workers}}}
	return c.engine.Load(&work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{gang(2, 8)}}, record, 0, c.now, c.now)
}

// Guards against a start of a gang that is done: the owner changes, and the worker of one member has restarted since the gang
// ended, while that of another one, which lists the end, has not answered the new owner yet.
func TestInheritedGangThatIsDoneIsNotStartedAgain(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.inheritGang()
	c.poll("new-0")
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0, "the other worker may list that the gang is done")
	c.poll("new-1", group.ExitEntry{Number: 1, Task: "job-a.0.0.1", Run: 1, Status: group.Done})
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	assert.Equal(t, job.Record.Phase, work.Completed)
}

// Guards against a gang that waits for the next polls: once each worker has answered, the missing members start.
func TestInheritedGangStartsOnceAllItsWorkersHaveAnswered(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.inheritGang()
	c.poll("new-0")
	c.step()
	c.poll("new-1")
	c.step()
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{"new-0": 1, "new-1": 1})
}

// Guards against a start of a gang that is done: one member's start had no response, and its worker restarts after the end.
func TestStartOfAGangThatIsDoneIsNotSentAgain(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job-a", planQueue, "beta", gang(2, 8), gang(1, 8))
	last := c.lastStartOrder()
	last.Member.MarkSent()
	last.Member.MarkUnanswered()
	assert.Assert(t, last.Member.StartWanted())
	first := last.Member.Run.Members[0]
	c.poll(first.Worker.ID, group.ExitEntry{Number: 1, Task: first.Task(), Run: last.Run, Status: group.Done})
	assert.Assert(t, !last.Member.StartWanted())
}
