package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// submitLongRunning submits a long-running service whose tasks each need half a worker.
func (c *cluster) submitLongRunning(tasks, maxUnavailable int) *group.Job {
	return c.submit("serve", batchQueue, "beta", work.Step{Count: tasks, MilliCores: 1000, Accelerators: 4, Estimate: time.Second, LongRunning: true, MaxUnavailable: maxUnavailable})
}

// reportWorking makes all running tasks report that their startup is done (100 percent).
func (c *cluster) reportWorking() {
	for _, tasks := range c.running {
		for name, entry := range tasks {
			entry.Percent = 100
			tasks[name] = entry
		}
	}
	c.pollAll()
}

// Guards against counting exits of a long-running service as failures of its job: its tasks crash from time to time, because
// of themselves or of the worker.
func TestLongRunningTaskIsRestartedAfterAnyExit(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.submitLongRunning(1, 0)
	c.step()
	for _, status := range []group.ExitStatus{group.Failed, group.Failed, group.Failed, group.Failed, group.Failed, group.Done, group.Lapsed, group.Broken} {
		assert.Equal(t, len(c.workersOf("serve")), 1, "before an exit as %s", status)
		c.exitTask("serve.0.0.0", status)
		c.advanceTime(7 * time.Second)
	}
	assert.Equal(t, len(c.workersOf("serve")), 1)
	assert.Equal(t, job.Record.Phase, work.Running)
}

// Guards against preempting more tasks of a long-running service than MaxUnavailable allows (one here) for quick jobs beyond
// their guarantee.
func TestTasksThatLastAreNotStoppedBeyondTheirBound(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submitLongRunning(4, 1)
	c.step()
	c.reportWorking()
	quick := work.Step{Count: 1, MilliCores: 1000, Accelerators: 4, Estimate: 20 * time.Second}
	for _, id := range []string{"quick-a", "quick-b", "quick-c"} {
		c.submit(id, quickQueue, "beta", quick)
		c.step()
		c.reportWorking()
	}
	assert.Equal(t, len(c.stops), 1)
}

func TestLongRunningTaskMovesWhenItsWorkerLeaves(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submitLongRunning(1, 1)
	c.step()
	c.reportWorking()
	for id := range c.workersOf("serve") {
		for i := range c.infos {
			c.infos[i].Draining = c.infos[i].ID == id
		}
	}
	c.engine.SetWorkers(c.infos, c.now)
	c.step()
	c.step()
	for _, info := range c.infos {
		assert.Equal(t, c.workersOf("serve")[info.ID] == 0, info.Draining, info.ID)
	}
}

func TestLongRunningJobEndsOnlyWhenCancelled(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.submitLongRunning(2, 0)
	c.step()
	c.advanceTime(time.Minute)
	assert.Equal(t, job.Record.Phase, work.Running)
	c.engine.Cancel("serve", c.now)
	c.step()
	assert.DeepEqual(t, c.workersOf("serve"), map[string]int{})
}
