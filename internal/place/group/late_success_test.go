package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// endUnheard submits a job of the steps, lets its first task end on a worker that nobody hears, and gives the run up.
func (c *cluster) endUnheard(steps ...work.Step) (job *group.Job, worker string) {
	c.t.Helper()
	job = c.submit("job-a", planQueue, "beta", steps...)
	c.step()
	for id := range c.workersOf("job-a") {
		worker = id
	}
	c.silent[worker] = true
	clear(c.running[worker])
	c.advanceTime(20 * time.Second)
	return job, worker
}

// listEnd lets the worker be heard again, which lists that the first run of the first task is done.
func (c *cluster) listEnd(worker string) {
	c.t.Helper()
	c.silent[worker] = false
	c.lastExit[worker]++
	c.poll(worker, group.ExitEntry{Number: c.lastExit[worker], Task: "job-a.0.0.0", Run: 1, Status: group.Done})
}

// Guards against running a task again that is done: its end behind a cut is listed after its lease has expired, while the
// task waits for room.
func TestEndThatIsListedAfterTheRunWasGivenUpCounts(t *testing.T) {
	c := newCluster(t, 1, 1)
	next := gang(1, 1)
	next.After = []int{0}
	job, worker := c.endUnheard(gang(1, 8), next)
	c.listEnd(worker)
	c.advanceTime(time.Second)
	assert.DeepEqual(t, c.running[worker]["job-a.0.1.0"].Run, 1)
	assert.Equal(t, c.running[worker]["job-a.0.0.0"].Run, 0)
	c.exitTask("job-a.0.1.0", group.Done)
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
}

// Guards against a second end of a task that is done: it runs again elsewhere when the end of its first run is listed.
func TestLaterRunIsStoppedOnceTheEndOfAnEarlierOneIsListed(t *testing.T) {
	c := newCluster(t, 1, 2)
	job, worker := c.endUnheard(gang(1, 8))
	assert.Equal(t, len(c.workersOf("job-a")), 1)
	c.listEnd(worker)
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	assert.Equal(t, job.Record.Phase, work.Completed)
}

// Guards against an exit that is acknowledged before what it changed is durable, after a change of owner as well.
func TestLateEndIsAcknowledgedOnceItIsDurable(t *testing.T) {
	c := newCluster(t, 1, 1)
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 2}}}
	c.engine.Load(&work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{gang(1, 8)}}, record, 0, c.now, c.now)
	c.poll("w0-0", group.ExitEntry{Number: 1, Task: "job-a.0.0.0", Run: 1, Status: group.Done})
	assert.Equal(t, c.engine.Worker("w0-0").DurableExit(), int64(0))
	c.step()
	assert.Equal(t, c.engine.Worker("w0-0").DurableExit(), int64(1))
	assert.Equal(t, c.engine.Job("job-a").Record.Phase, work.Completed)
	assert.Equal(t, len(c.workersOf("job-a")), 0)
}

// Guards against ends that say nothing of the job's tasks: odd names, runs that were never ordered, and other exits.
func TestLateEndsThatDoNotCount(t *testing.T) {
	for name, exit := range map[string]group.ExitEntry{
		"failed":           {Task: "job-a.0.0.0", Run: 1, Status: group.Failed},
		"never ordered":    {Task: "job-a.0.0.0", Run: 9, Status: group.Done},
		"no such step":     {Task: "job-a.0.7.0", Run: 1, Status: group.Done},
		"no such task":     {Task: "job-a.0.0.7", Run: 1, Status: group.Done},
		"no such job":      {Task: "job-b.0.0.0", Run: 1, Status: group.Done},
		"no name of ours":  {Task: "job-a", Run: 1, Status: group.Done},
		"negative numbers": {Task: "job-a.0.-1.0", Run: 1, Status: group.Done},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			job, worker := c.endUnheard(gang(1, 8))
			c.silent[worker] = false
			exit.Number = 1
			c.poll(worker, exit)
			c.step()
			assert.Equal(t, job.Record.Phase, work.Running)
			assert.Equal(t, len(c.workersOf("job-a")), 1)
		})
	}
}
