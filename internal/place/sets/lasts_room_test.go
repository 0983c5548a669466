package sets_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// The pattern: batch work that lasts is not moved about for gangs on a full fleet, as it earns by running.
func TestWaitingGangDoesNotPreemptLongRunningTasks(t *testing.T) {
	c := newCluster(t, 4, 4)
	c.submit("lasts", batchQueue, "beta", work.Step{Count: 128, MilliCores: 1000, Accelerators: 1, Lasts: true, Checkpoints: true})
	c.step()
	c.submit("wide", planQueue, "alpha", gang(8, 8))
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.stops), 0)
}

// The pattern: some tasks of a step that was to run near its data have waited for so long that they may run anywhere, and others
// have not, as they were stopped and began to wait anew. Where they may go overlaps.
func TestTasksOfAStepWithDifferentFiltersDoNotShareRoom(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("near", batchQueue, "beta", work.Step{Count: 12, MilliCores: 1000, Accelerators: 1, Affinity: "r0", Estimate: time.Second, Lasts: true})
	c.step()
	for _, task := range []string{"near.0.0.1", "near.0.0.3"} {
		c.exitTask(task, sets.Done)
	}
	c.now = c.now.Add(2200 * time.Millisecond)
	for _, task := range []string{"near.0.0.0", "near.0.0.2"} {
		c.exitTask(task, sets.Done)
	}
	c.step()
	assert.Equal(t, len(c.running["w0-0"]), 8)
}
