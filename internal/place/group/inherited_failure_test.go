package group_test

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against a gang that runs on after one of its members has failed: the owner that recorded the failure is lost before it
// stops the others, and the worker of the failed member does not answer the successor.
func TestInheritedGangWithARecordedFailureIsStopped(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.running["w0-1"]["job-a.0.0.1"] = group.RunningEntry{Task: "job-a.0.0.1", Run: 1}
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Failures: 1, FailedRun: 1, Workers: []string{"w0-0", "w0-1"}}}}
	c.engine.Load(&work.Spec{Job: "job-a", Queue: batchQueue, Steps: []work.Step{gang(2, 8)}}, record, 0, c.now, c.now)
	c.silent["w0-0"] = true
	c.pollAll()
	c.step()
	assert.Equal(t, len(c.running["w0-1"]), 0)
}

// Guards against room that stays taken although its worker lists nothing: the job has ended, and another worker of its gang does
// not answer the successor.
func TestRoomOfAnEndedGangIsFreeThoughOneOfItsWorkersIsSilent(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.inheritGang()
	job.Record.Phase = work.Failed
	c.poll("new-0")
	c.step()
	assert.Equal(t, c.engine.Worker("new-0").Used, group.Resources{})
	assert.Equal(t, c.engine.Worker("new-1").Used.Accelerators, 8)
}
