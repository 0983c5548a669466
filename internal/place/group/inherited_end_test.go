package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// inheritJob loads a job of one step with a record by an earlier owner; w0-0 runs its first task.
func (c *cluster) inheritJob(step work.Step, phase work.Phase, groups ...work.GroupRecord) *group.Job {
	c.running["w0-0"]["job-a.0.0.0"] = group.RunningEntry{Task: "job-a.0.0.0", Run: 1}
	record := &work.Record{Phase: phase, Groups: groups}
	return c.engine.Load(&work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{step}}, record, 0, c.now, c.now)
}

// Guards against a task that runs on after its job has ended: the owner that recorded the end is lost before its stop reaches
// the worker.
func TestInheritedTaskOfAnEndedJobIsStopped(t *testing.T) {
	for _, phase := range []work.Phase{work.Cancelled, work.Failed} {
		t.Run(phase.String(), func(t *testing.T) {
			c := newCluster(t, 1, 2)
			job := c.inheritJob(gang(1, 1), phase, work.GroupRecord{Run: 1, Workers: []string{"w0-0"}})
			c.advanceTime(time.Second)
			assert.Equal(t, len(c.workersOf("job-a")), 0)
			assert.Equal(t, job.Record.Phase, phase)
		})
	}
}

// Guards against a worker whose first answer comes late: the stop is ordered before the worker lists the task.
func TestInheritedTaskOfAnEndedJobIsStoppedThoughItsWorkerIsSilent(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.silent["w0-0"] = true
	c.inheritJob(gang(1, 1), work.Cancelled, work.GroupRecord{Run: 1, Workers: []string{"w0-0"}})
	c.step()
	assert.DeepEqual(t, c.stops, []group.StopOrder{{Worker: "w0-0", Task: "job-a.0.0.0", Run: 1}})
}
