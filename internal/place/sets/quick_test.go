package sets_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// The pattern: batch work comes faster than it is done, and quick jobs arrive in between.
func TestQuickJobsStartAtOnceUnderABatchFlood(t *testing.T) {
	c := newCluster(t, 4, 4)
	c.submit("flood", batchQueue, "beta", work.Step{Count: 200, MilliCores: 1000, Accelerators: 1, Estimate: 9 * time.Second})
	c.step()
	quick := gang(3, 8)
	quick.SameRack = true
	c.submit("quick", quickQueue, "alpha", quick)
	c.step()
	assert.Equal(t, len(c.workersOf("quick")), 3)
	assert.Equal(t, len(c.stops), 0)
}

// The pattern: a workspace beyond its guarantee fills the quick queue, then a guaranteed one asks for its own.
func TestBatchWorkIsPreemptedBeforeQuickWork(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.submit("batch", batchQueue, "beta", gang(1, 8))
	c.step()
	c.advanceTime(3 * time.Second)
	c.submit("over", quickQueue, "beta", gang(2, 8))
	c.step()
	c.submit("mine", quickQueue, "alpha", gang(1, 8))
	c.step()
	c.step()
	assert.Equal(t, len(c.workersOf("mine")), 1)
	assert.DeepEqual(t, c.stops, []sets.StopOrder{{Worker: c.stops[0].Worker, Task: "batch.0.0.0", Run: 1}})
}

// The pattern: workers fail what they start, and each failure costs a quick job the time until its gang is gone.
func TestBrokenGangIsStoppedAtOnce(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.submit("quick", quickQueue, "alpha", gang(2, 8))
	c.step()
	c.exitTask("quick.0.0.0", sets.Failed)
	c.step()
	assert.Equal(t, len(c.stops), 1)
	c.step()
	assert.Equal(t, len(c.workersOf("quick")), 2)
}

// The pattern: a gang that needs a whole rack, while a worker of that rack is avoided for a moment.
func TestReservationOutlastsABriefPauseOfItsWorker(t *testing.T) {
	c := newCluster(t, 3, 3)
	one := work.Step{Count: 72, MilliCores: 1000, Accelerators: 1, Estimate: 30 * time.Second}
	c.submit("flood", batchQueue, "beta", one)
	c.step()
	c.advanceTime(2 * time.Second)
	wide := gang(3, 5)
	wide.SameRack = true
	c.submit("wide", quickQueue, "alpha", wide)
	c.engine.Decide(true, c.now)
	stopped := 0
	for _, action := range c.engine.Actions() {
		if stop, ok := action.(sets.StopOrder); ok {
			stopped++
			c.carryOutStop(stop)
			if stopped == 1 {
				c.exitTask(c.anyTaskOn(stop.Worker), sets.Failed)
			}
		}
	}
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 3)
	for _, note := range c.decisions {
		assert.Assert(t, note.What != sets.RunStopped, "nothing more was stopped: %s", note.Text)
	}
}

func TestQuickJobBeyondItsGuaranteePreemptsNothingMuchLarger(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("large", planQueue, "beta", gang(2, 8))
	c.step()
	c.advanceTime(8 * time.Second)
	tiny := gang(1, 1)
	tiny.Estimate = 200 * time.Millisecond
	c.submit("tiny", quickQueue, "beta", tiny)
	c.step()
	assert.Equal(t, len(c.stops), 0)
}

// The pattern: a data centre is evacuated, and a gang needs more than what is left beside the racks kept for quick jobs.
func TestWideGangUsesKeptRacksIfItFitsNowhereElse(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.submit("wide", batchQueue, "beta", gang(7, 8))
	c.step()
	assert.Equal(t, len(c.workersOf("wide")), 7)
}

// The pattern: workers are replaced one after the other while long tasks with checkpoints run on them.
func TestCheckpointedTaskResumesElsewhereWhenItsWorkerLeaves(t *testing.T) {
	c := newCluster(t, 1, 2)
	long := work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: 9 * time.Second, Checkpoints: true}
	c.submit("long", planQueue, "beta", long)
	c.step()
	c.advanceTime(time.Second)
	var from string
	for id := range c.workersOf("long") {
		from = id
	}
	for i := range c.infos {
		c.infos[i].Draining = c.infos[i].ID == from
	}
	c.engine.SetWorkers(c.infos, c.now)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("long")), 1)
	assert.Equal(t, c.workersOf("long")[from], 0)
}

// The pattern: small tasks come without end and take each gap, while a gang needs whole workers of one rack.
func TestGangThatNeedsWholeWorkersIsNotStarvedBySmallTasks(t *testing.T) {
	c := newCluster(t, 1, 4)
	small := work.Step{Count: 300, MilliCores: 1000, Accelerators: 1, Estimate: 4 * time.Second}
	c.submit("small", batchQueue, "beta", small)
	c.step()
	c.advanceTime(time.Second)
	wide := gang(3, 8)
	wide.SameRack = true
	c.submit("wide", planQueue, "beta", wide)
	for range 80 {
		c.advanceTime(200 * time.Millisecond)
		c.exitTask(c.oldestTask("small"), sets.Done)
		c.step()
		if len(c.workersOf("wide")) == 3 {
			return
		}
	}
	t.Fatal("the gang never started")
}

// The pattern: two tasks of a step that may not share a worker both have room made for them on the same one.
func TestRoomMadeNeverPutsTooManyOfAStepOnOneWorker(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("batch", batchQueue, "beta", gang(2, 8))
	c.step()
	c.advanceTime(time.Second)
	c.submit("apart", quickQueue, "alpha", work.Step{Count: 2, MilliCores: 1000, Accelerators: 2, Estimate: 8 * time.Second, MaxPerWorker: 1})
	for range 5 {
		c.advanceTime(time.Second)
		for id, count := range c.workersOf("apart") {
			assert.Equal(t, count, 1, id)
		}
	}
	assert.Equal(t, len(c.workersOf("apart")), 2)
}

// The pattern: the day is almost over, a few small tasks sit on every worker, and a gang needs whole ones.
func TestScatteredSmallTasksArePreemptedWhileUtilizationIsLow(t *testing.T) {
	c := newCluster(t, 1, 6)
	c.submit("small", batchQueue, "beta", work.Step{Count: 6, MilliCores: 1000, Accelerators: 1, Estimate: 60 * time.Second, MaxPerWorker: 1})
	c.step()
	c.submit("wide", planQueue, "beta", gang(4, 8))
	c.advanceTime(4 * time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 4)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("small")), 2, "one on each worker that is left")
}

// The pattern: room is kept on workers of which one stays busy, while others have become free.
func TestGangWithBackfillReservationUsesFreeRoomElsewhere(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.submit("long", planQueue, "beta", gang(1, 8))
	c.step()
	c.submit("short", planQueue, "beta", gang(3, 8))
	c.step()
	c.submit("wide", planQueue, "beta", gang(2, 8))
	c.advanceTime(6 * time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 0)
	c.exitTask("short.0.0.0", sets.Done)
	for _, name := range []string{"short.0.0.1", "short.0.0.2"} {
		c.exitTask(name, sets.Done)
	}
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 2)
}
