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
const visitsMost = 6

// The pattern: a burst of wide batch jobs with a bound on each worker, and gangs of whole workers, wait on a full fleet. The
// more waits, the slower were decisions, and the slower the fleet emptied the queue.
func TestDecisionOnAFullFleetCostsNoMoreTheMoreWaits(t *testing.T) {
	for _, size := range backlogs {
		s := size.hold(t)
		// Beyond the pauses of sets that were looked at in the first decision.
		s.now = s.now.Add(time.Second)
		s.engine.Decide(true, s.now)
		assert.Assert(t, s.engine.Visited() <= visitsMost*largeRacks*largeRack, "%d sets wait: %d looks at workers", size.waiting(), s.engine.Visited())
	}
}

// The pattern: the fleet comes free under the same burst; tasks of one step are placed by one search, not by one each.
func TestTasksOfAStepShareASearch(t *testing.T) {
	s := newSite(t, largeRacks, largeRack)
	const jobs = 20
	for i := range jobs {
		step := work.Step{Count: tasksPerJob, MilliCores: 2800, MemoryMB: 7400, Accelerators: 1, Estimate: 8 * time.Second, MaxPerWorker: i % 2}
		s.submit(string(rune('a'+i)), batchQueue, "beta", step)
	}
	s.engine.Decide(true, s.now)
	assert.Assert(t, s.engine.Visited() <= 2*jobs*largeRacks*largeRack, "%d looks at workers", s.engine.Visited())
	assert.Equal(t, s.engine.Waiting(), 0)
}

// The pattern: workers fail what they start, so tasks of a step each have some worker that they must not get again.
func TestTaskThatFailedGoesElsewhereAndItsSiblingsMayStay(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit("job", batchQueue, "beta", work.Step{Count: 16, MilliCores: 1000, Accelerators: 1, Estimate: 8 * time.Second})
	s.step()
	failed := s.anyTaskOn("w0-0")
	s.end(failed, sets.Failed)
	s.end(s.anyTaskOn("w0-1"), sets.Done)
	s.pass(2 * time.Second)
	assert.Equal(t, len(s.workersOf("job")), 2)
	_, again := s.running["w0-1"][failed]
	assert.Assert(t, again)
}

// The pattern: all tasks of a step with a bound on each worker must spread, however much room one worker has.
func TestTasksWithABoundOnEachWorkerSpread(t *testing.T) {
	s := newSite(t, 4, 1)
	s.submit("job", batchQueue, "beta", work.Step{Count: 8, MilliCores: 1000, Accelerators: 1, Estimate: 8 * time.Second, MaxPerWorker: 2})
	s.step()
	most := 0
	for _, n := range s.workersOf("job") {
		most = max(most, n)
	}
	assert.Equal(t, most, 2)
	assert.Equal(t, s.engine.Waiting(), 0, "the racks kept for quick jobs count once the others are at the bound")
}
