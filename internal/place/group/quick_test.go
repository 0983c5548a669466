package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against quick jobs that wait or preempt while batch work arrives faster than it finishes.
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

// Guards against preempting quick work while batch work can be preempted: a workspace beyond its guarantee runs quick jobs,
// and then another one submits a job within its guarantee.
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
	assert.DeepEqual(t, c.stops, []group.StopOrder{{Worker: c.stops[0].Worker, Task: "batch.0.0.0", Run: 1}})
}

// Guards against a delay before the rest of a failed gang is stopped, which adds to the time until a quick job runs again.
func TestBrokenGangIsStoppedAtOnce(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.submit("quick", quickQueue, "alpha", gang(2, 8))
	c.step()
	c.exitTask("quick.0.0.0", group.Failed)
	c.step()
	assert.Equal(t, len(c.stops), 1)
	c.step()
	assert.Equal(t, len(c.workersOf("quick")), 2)
}

// Guards against dropping a reservation, and preempting more, because one of its workers gets no new tasks for a short time
// after a failure: the gang needs all workers of a rack.
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
		if stop, ok := action.(group.StopOrder); ok {
			stopped++
			c.carryOutStop(stop)
			if stopped == 1 {
				c.exitTask(c.anyTaskOn(stop.Worker), group.Failed)
			}
		}
	}
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 3)
	for _, decision := range c.decisions {
		assert.Assert(t, decision.Kind != group.RunStopped, "another run was stopped: %s", decision.Text)
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

// Guards against a gang that never starts because it needs more than the racks that are not reserved for quick jobs, as
// after the evacuation of a data centre.
func TestWideGangUsesKeptRacksIfItFitsNowhereElse(t *testing.T) {
	c := newCluster(t, 4, 2)
	c.submit("wide", batchQueue, "beta", gang(7, 8))
	c.step()
	assert.Equal(t, len(c.workersOf("wide")), 7)
}

// Guards against losing work when workers are replaced one after the other while long tasks with checkpoints run on them.
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

// Guards against starvation of a gang that needs whole workers of one rack while an endless stream of small tasks takes all
// room that becomes free.
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
		c.exitTask(c.oldestTask("small"), group.Done)
		c.step()
		if len(c.workersOf("wide")) == 3 {
			return
		}
	}
	t.Fatal("the gang never started")
}

// Guards against reserving room on the same worker for two tasks of a step that must not share a worker (MaxPerWorker).
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

// Guards against a gang that waits on an almost empty fleet because a few small tasks run on every worker and it needs whole
// ones.
func TestScatteredSmallTasksArePreemptedWhileUtilizationIsLow(t *testing.T) {
	c := newCluster(t, 1, 6)
	c.submit("small", batchQueue, "beta", work.Step{Count: 6, MilliCores: 1000, Accelerators: 1, Estimate: 60 * time.Second, MaxPerWorker: 1})
	c.step()
	c.submit("wide", planQueue, "beta", gang(4, 8))
	c.advanceTime(4 * time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 4)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("small")), 2, "one on each remaining worker")
}

// Guards against a gang that waits for the workers of its backfill reservation, of which one stays busy, while others are
// free.
func TestGangWithBackfillReservationUsesFreeRoomElsewhere(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.submit("long", planQueue, "beta", gang(1, 8))
	c.step()
	c.submit("short", planQueue, "beta", gang(3, 8))
	c.step()
	c.submit("wide", planQueue, "beta", gang(2, 8))
	c.advanceTime(6 * time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 0)
	c.exitTask("short.0.0.0", group.Done)
	for _, name := range []string{"short.0.0.1", "short.0.0.2"} {
		c.exitTask(name, group.Done)
	}
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 2)
}
