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
	assert.Equal(t, len(s.stops), 0, "nothing more was stopped")
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
