package sets_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// visitsMost bounds the looks at workers in one decision on a fleet without room, for each worker: one for each kind of
// demand that waits (three here) to know what the fleet could hold, and as much again for searches.
const maxExaminedPerWorker = 6

// The pattern: a burst of wide batch jobs with a bound on each worker, and gangs of whole workers, wait on a full fleet. The
// more waits, the slower were decisions, and the slower the fleet emptied the queue.
func TestDecisionOnAFullFleetCostsNoMoreTheMoreWaits(t *testing.T) {
	for _, size := range backlogs {
		c := size.fillCluster(t)
		// Beyond the pauses of sets that were looked at in the first decision.
		c.now = c.now.Add(time.Second)
		c.engine.Decide(true, c.now)
		assert.Assert(t, c.engine.Visited() <= maxExaminedPerWorker*largeRacks*largeRackSize, "%d sets wait: %d looks at workers", size.waiting(), c.engine.Visited())
	}
}

// The pattern: the fleet comes free under the same burst; tasks of one step are placed by one search, not by one each.
func TestTasksOfAStepShareASearch(t *testing.T) {
	c := newCluster(t, largeRacks, largeRackSize)
	const jobs = 20
	for i := range jobs {
		step := work.Step{Count: tasksPerJob, MilliCores: 2800, MemoryMB: 7400, Accelerators: 1, Estimate: 8 * time.Second, MaxPerWorker: i % 2}
		c.submit(string(rune('a'+i)), batchQueue, "beta", step)
	}
	c.engine.Decide(true, c.now)
	assert.Assert(t, c.engine.Visited() <= 2*jobs*largeRacks*largeRackSize, "%d looks at workers", c.engine.Visited())
	assert.Equal(t, c.engine.Waiting(), 0)
}

// The pattern: workers fail what they start, so tasks of a step each have some worker that they must not get again.
func TestTaskThatFailedGoesElsewhereAndItsSiblingsMayStay(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job", batchQueue, "beta", work.Step{Count: 16, MilliCores: 1000, Accelerators: 1, Estimate: 8 * time.Second})
	c.step()
	failed := c.anyTaskOn("w0-0")
	c.exitTask(failed, sets.Failed)
	c.exitTask(c.anyTaskOn("w0-1"), sets.Done)
	c.advanceTime(2 * time.Second)
	assert.Equal(t, len(c.workersOf("job")), 2)
	_, again := c.running["w0-1"][failed]
	assert.Assert(t, again)
}

// The pattern: all tasks of a step with a bound on each worker must spread, however much room one worker has.
func TestTasksWithMaxPerWorkerSpread(t *testing.T) {
	c := newCluster(t, 4, 1)
	c.submit("job", batchQueue, "beta", work.Step{Count: 8, MilliCores: 1000, Accelerators: 1, Estimate: 8 * time.Second, MaxPerWorker: 2})
	c.step()
	most := 0
	for _, n := range c.workersOf("job") {
		most = max(most, n)
	}
	assert.Equal(t, most, 2)
	assert.Equal(t, c.engine.Waiting(), 0, "the racks kept for quick jobs count once the others are at the bound")
}
