package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against preempting long-running tasks for gangs on a full fleet, as such tasks are of use only while they run.
func TestWaitingGangDoesNotPreemptLongRunningTasks(t *testing.T) {
	c := newCluster(t, 4, 4)
	c.submit("lasts", batchQueue, "beta", work.Step{Count: 128, MilliCores: 1000, Accelerators: 1, LongRunning: true, Checkpoints: true})
	c.step()
	c.submit("wide", planQueue, "alpha", gang(8, 8))
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.stops), 0)
}

// Guards against using the same room twice when tasks of one step have different candidate filters: some have waited so long
// for the rack of their data that they may run anywhere, others exited later and still wait for it. The filters overlap.
func TestTasksOfAStepWithDifferentFiltersDoNotShareRoom(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("near", batchQueue, "beta", work.Step{Count: 12, MilliCores: 1000, Accelerators: 1, Affinity: "r0", Estimate: time.Second, LongRunning: true})
	c.step()
	for _, task := range []string{"near.0.0.1", "near.0.0.3"} {
		c.exitTask(task, group.Done)
	}
	c.now = c.now.Add(2200 * time.Millisecond)
	for _, task := range []string{"near.0.0.0", "near.0.0.2"} {
		c.exitTask(task, group.Done)
	}
	c.step()
	assert.Equal(t, len(c.running["w0-0"]), 8)
}
