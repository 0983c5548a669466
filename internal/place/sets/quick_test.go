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
	s := newSite(t, 4, 4)
	s.submit("flood", batchQueue, "beta", work.Step{Count: 200, MilliCores: 1000, Accelerators: 1, Estimate: 9 * time.Second})
	s.step()
	quick := gang(3, 8)
	quick.SameRack = true
	s.submit("quick", quickQueue, "alpha", quick)
	s.step()
	assert.Equal(t, len(s.workersOf("quick")), 3)
	assert.Equal(t, len(s.stops), 0)
}

// The pattern: a workspace beyond its guarantee fills the quick queue, then a guaranteed one asks for its own.
func TestBatchWorkStopsBeforeOtherQuickWork(t *testing.T) {
	s := newSite(t, 1, 3)
	s.submit("batch", batchQueue, "beta", gang(1, 8))
	s.step()
	s.pass(3 * time.Second)
	s.submit("over", quickQueue, "beta", gang(2, 8))
	s.step()
	s.submit("mine", quickQueue, "alpha", gang(1, 8))
	s.step()
	s.step()
	assert.Equal(t, len(s.workersOf("mine")), 1)
	assert.DeepEqual(t, s.stops, []sets.StopOrder{{Worker: s.stops[0].Worker, Task: "batch.0.0.0", Run: 1}})
}

// The pattern: workers fail what they start, and each failure costs a quick job the time until its gang is gone.
func TestBrokenGangIsStoppedAtOnce(t *testing.T) {
	s := newSite(t, 1, 3)
	s.submit("quick", quickQueue, "alpha", gang(2, 8))
	s.step()
	s.end("quick.0.0.0", sets.Failed)
	s.step()
	assert.Equal(t, len(s.stops), 1)
	s.step()
	assert.Equal(t, len(s.workersOf("quick")), 2)
}

// The pattern: a gang that needs a whole rack, while a worker of that rack is avoided for a moment.
func TestClaimOutlastsAWorkerThatIsAvoidedForAMoment(t *testing.T) {
	s := newSite(t, 3, 3)
	one := work.Step{Count: 72, MilliCores: 1000, Accelerators: 1, Estimate: 30 * time.Second}
	s.submit("flood", batchQueue, "beta", one)
	s.step()
	s.pass(2 * time.Second)
	wide := gang(3, 5)
	wide.SameRack = true
	s.submit("wide", quickQueue, "alpha", wide)
	s.engine.Decide(true, s.now)
	stopped := 0
	for _, action := range s.engine.Actions() {
		if stop, ok := action.(sets.StopOrder); ok {
			stopped++
			s.carryOutStop(stop)
			if stopped == 1 {
				s.end(s.anyTaskOn(stop.Worker), sets.Failed)
			}
		}
	}
	s.pass(3 * time.Second)
	assert.Equal(t, len(s.workersOf("wide")), 3)
	for _, note := range s.notes {
		assert.Assert(t, note.What != sets.RunStopped, "nothing more was stopped: %s", note.Text)
	}
}

func TestNothingMuchLargerIsStoppedForAQuickJobBeyondItsGuarantee(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit("large", planQueue, "beta", gang(2, 8))
	s.step()
	s.pass(8 * time.Second)
	tiny := gang(1, 1)
	tiny.Estimate = 200 * time.Millisecond
	s.submit("tiny", quickQueue, "beta", tiny)
	s.step()
	assert.Equal(t, len(s.stops), 0)
}

// The pattern: a data centre is evacuated, and a gang needs more than what is left beside the racks kept for quick jobs.
func TestWideGangUsesKeptRacksIfItFitsNowhereElse(t *testing.T) {
	s := newSite(t, 4, 2)
	s.submit("wide", batchQueue, "beta", gang(7, 8))
	s.step()
	assert.Equal(t, len(s.workersOf("wide")), 7)
}

// The pattern: workers are replaced one after the other while long tasks with checkpoints run on them.
func TestTaskWithCheckpointsGoesOnElsewhereWhenItsWorkerLeaves(t *testing.T) {
	s := newSite(t, 1, 2)
	long := work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: 9 * time.Second, Checkpoints: true}
	s.submit("long", planQueue, "beta", long)
	s.step()
	s.pass(time.Second)
	var from string
	for id := range s.workersOf("long") {
		from = id
	}
	for i := range s.infos {
		s.infos[i].Draining = s.infos[i].ID == from
	}
	s.engine.SetWorkers(s.infos, s.now)
	s.pass(time.Second)
	assert.Equal(t, len(s.workersOf("long")), 1)
	assert.Equal(t, s.workersOf("long")[from], 0)
}

// The pattern: small tasks come without end and take each gap, while a gang needs whole workers of one rack.
func TestGangThatNeedsWholeWorkersIsNotStarvedBySmallTasks(t *testing.T) {
	s := newSite(t, 1, 4)
	small := work.Step{Count: 300, MilliCores: 1000, Accelerators: 1, Estimate: 4 * time.Second}
	s.submit("small", batchQueue, "beta", small)
	s.step()
	s.pass(time.Second)
	wide := gang(3, 8)
	wide.SameRack = true
	s.submit("wide", planQueue, "beta", wide)
	for range 80 {
		s.pass(200 * time.Millisecond)
		s.end(s.oldestTask("small"), sets.Done)
		s.step()
		if len(s.workersOf("wide")) == 3 {
			return
		}
	}
	t.Fatal("the gang never started")
}

// The pattern: two tasks of a step that may not share a worker both have room made for them on the same one.
func TestRoomMadeNeverPutsTooManyOfAStepOnOneWorker(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit("batch", batchQueue, "beta", gang(2, 8))
	s.step()
	s.pass(time.Second)
	s.submit("apart", quickQueue, "alpha", work.Step{Count: 2, MilliCores: 1000, Accelerators: 2, Estimate: 8 * time.Second, MaxPerWorker: 1})
	for range 5 {
		s.pass(time.Second)
		for id, count := range s.workersOf("apart") {
			assert.Equal(t, count, 1, id)
		}
	}
	assert.Equal(t, len(s.workersOf("apart")), 2)
}

// The pattern: the day is almost over, a few small tasks sit on every worker, and a gang needs whole ones.
func TestScatteredSmallTasksMakeRoomWhileMuchIsFree(t *testing.T) {
	s := newSite(t, 1, 6)
	s.submit("small", batchQueue, "beta", work.Step{Count: 6, MilliCores: 1000, Accelerators: 1, Estimate: 60 * time.Second, MaxPerWorker: 1})
	s.step()
	s.submit("wide", planQueue, "beta", gang(4, 8))
	s.pass(4 * time.Second)
	assert.Equal(t, len(s.workersOf("wide")), 4)
	s.pass(time.Second)
	assert.Equal(t, len(s.workersOf("small")), 2, "one on each worker that is left")
}

// The pattern: room is kept on workers of which one stays busy, while others have become free.
func TestGangWithKeptRoomTakesWhatIsFreeElsewhere(t *testing.T) {
	s := newSite(t, 1, 4)
	s.submit("long", planQueue, "beta", gang(1, 8))
	s.step()
	s.submit("short", planQueue, "beta", gang(3, 8))
	s.step()
	s.submit("wide", planQueue, "beta", gang(2, 8))
	s.pass(6 * time.Second)
	assert.Equal(t, len(s.workersOf("wide")), 0)
	s.end("short.0.0.0", sets.Done)
	for _, name := range []string{"short.0.0.1", "short.0.0.2"} {
		s.end(name, sets.Done)
	}
	s.pass(time.Second)
	assert.Equal(t, len(s.workersOf("wide")), 2)
}
