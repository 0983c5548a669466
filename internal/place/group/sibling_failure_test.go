package group_test

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against tasks that stand although a worker is free (LOST): another task of their step has failed there and waits before it
// returns.
func TestTaskUsesAWorkerOnWhichAnotherOfItsStepFailed(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("full", planQueue, "beta", gang(1, 8))
	c.step()
	free := map[string]string{"w0-0": "w0-1", "w0-1": "w0-0"}[c.workerOf("full.0.0.0")]
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 3, Failures: 3, FailedRun: 3, FailedOn: []string{free}}, {}}}
	c.engine.Load(&work.Spec{Job: "job-a", Queue: batchQueue, Steps: []work.Step{single(2, 8)}}, record, 0, c.now, c.now)
	c.step()
	assert.Equal(t, c.workerOf("job-a.0.0.1"), free)
}
