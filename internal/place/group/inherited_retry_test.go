package group_test

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against a task that stands although its workers are free (LOST): each new owner waits anew before the task returns to workers on
// which it failed.
func TestDelayAfterAFailureDoesNotGrowWithChangesOfOwner(t *testing.T) {
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 3, Failures: 3, FailedRun: 3, FailedOn: []string{"w0-0", "w0-1"}}}}
	c := newCluster(t, 1, 2)
	c.engine.Load(&work.Spec{Job: "job-a", Queue: batchQueue, Steps: []work.Step{single(1, 1)}}, record, 0, c.now, c.now)
	c.step()
	assert.Equal(t, c.workerOf("job-a.0.0.0"), "")
	c.assertRunsWithin(maxWait, "job-a")
}
