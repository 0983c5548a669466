package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// maxExaminedPerWorker limits how often one decision on a full fleet examines each worker: once for each kind of demand that
// waits (three here) to learn what the fleet could hold, and as often again for searches.
const maxExaminedPerWorker = 6

// Guards against decisions whose cost grows with the queue, so that a long queue drains ever more slowly: a burst of wide
// batch jobs with MaxPerWorker, and of gangs of whole workers, waits on a full fleet.
func TestDecisionOnAFullFleetCostsNoMoreTheMoreWaits(t *testing.T) {
	for _, size := range backlogs {
		c := size.fillCluster(t)
		// Longer than the retry delays of the task groups that the first decision considered.
		c.now = c.now.Add(time.Second)
		c.engine.Decide(true, c.now)
		assert.Assert(t, c.engine.Examined() <= maxExaminedPerWorker*largeRacks*largeRackSize, "%d task groups wait: %d workers examined", size.waiting(), c.engine.Examined())
	}
}

// Guards against one search for each task when the fleet becomes free under the same burst; tasks of a step share a search.
func TestTasksOfAStepShareASearch(t *testing.T) {
	c := newCluster(t, largeRacks, largeRackSize)
	const jobs = 20
	for i := range jobs {
		step := work.Step{Count: tasksPerJob, MilliCores: 2800, MemoryMB: 7400, Accelerators: 1, Estimate: 8 * time.Second, MaxPerWorker: i % 2}
		c.submit(string(rune('a'+i)), batchQueue, "beta", step)
	}
	c.engine.Decide(true, c.now)
	assert.Assert(t, c.engine.Examined() <= 2*jobs*largeRacks*largeRackSize, "%d workers examined", c.engine.Examined())
	assert.Equal(t, c.engine.WaitingGroups(), 0)
}

// Guards against a failed task returning to its worker, and against keeping the other tasks of the step off that worker too.
func TestOnlyTheFailedTaskAvoidsItsWorker(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job", batchQueue, "beta", work.Step{Count: 16, MilliCores: 1000, Accelerators: 1, Estimate: 8 * time.Second})
	c.step()
	failed := c.anyTaskOn("w0-0")
	c.exitTask(failed, group.Failed)
	c.exitTask(c.anyTaskOn("w0-1"), group.Done)
	c.advanceTime(2 * time.Second)
	assert.Equal(t, len(c.workersOf("job")), 2)
	_, again := c.running["w0-1"][failed]
	assert.Assert(t, again)
}

// Guards against more than MaxPerWorker tasks of a step on one worker when that worker has room for more.
func TestTasksWithMaxPerWorkerSpread(t *testing.T) {
	c := newCluster(t, 4, 1)
	c.submit("job", batchQueue, "beta", work.Step{Count: 8, MilliCores: 1000, Accelerators: 1, Estimate: 8 * time.Second, MaxPerWorker: 2})
	c.step()
	most := 0
	for _, n := range c.workersOf("job") {
		most = max(most, n)
	}
	assert.Equal(t, most, 2)
	assert.Equal(t, c.engine.WaitingGroups(), 0, "the racks reserved for quick jobs are used once MaxPerWorker excludes the others")
}
