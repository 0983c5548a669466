package sets_test

import (
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// flood fills the site with batch tasks of one accelerator, several for each.
func (s *site) flood(id string, saves bool) {
	s.submit(id, batchQueue, "beta", work.Step{Count: 400, MilliCores: 1000, MemoryMB: 1000, Accelerators: 1, Estimate: 9 * time.Second, Checkpoints: saves})
	s.step()
}

// The pattern: small batch tasks take each accelerator that becomes free, so that a gang that needs whole workers never
// starts; those that save their progress lose little by a stop.
func TestWideGangStopsLessUrgentWorkThatSavesItsProgress(t *testing.T) {
	s := newSite(t, 4, 4)
	s.flood("saves", true)
	s.submit("wide", planQueue, "alpha", gang(8, 8))
	s.pass(3 * time.Second)
	assert.Equal(t, len(s.workersOf("wide")), 8)
	for _, stop := range s.stops {
		assert.Assert(t, strings.HasPrefix(stop.Task, "saves"))
	}
}

// The pattern: the same with tasks that would begin anew; the fleet is full, so nothing is won by throwing their work away.
func TestWideGangDoesNotThrowWorkAwayOnAFullFleet(t *testing.T) {
	s := newSite(t, 4, 4)
	s.flood("plain", false)
	s.submit("wide", planQueue, "alpha", gang(8, 8))
	s.pass(3 * time.Second)
	assert.Equal(t, len(s.stops), 0)
}

// The pattern: the gang is so late that its caller gains nothing any more.
func TestGangThatIsTooLateStopsNothingOnAFullFleet(t *testing.T) {
	s := newSite(t, 4, 4)
	s.flood("saves", true)
	late := gang(8, 8)
	late.Estimate = time.Second
	spec := &work.Spec{Job: "late", Queue: planQueue, Workspace: "alpha", Steps: []work.Step{late}}
	s.engine.Load(spec, nil, time.Minute, s.now, s.now)
	s.pass(3 * time.Second)
	assert.Equal(t, len(s.stops), 0)
}

// The pattern: at the end of a day gangs that leave much of each worker free hold all racks but those kept for quick jobs, and
// another gang waits although half of the fleet is free.
func TestGangUsesKeptRacksWhileMuchIsFree(t *testing.T) {
	s := newSite(t, 10, 2)
	heavy := work.Step{Count: 14, MilliCores: 13000, MemoryMB: 70000, Accelerators: 1, Estimate: time.Minute, Gang: true}
	s.submit("first", planQueue, "beta", heavy)
	s.step()
	assert.Equal(t, len(s.workersOf("first")), 14)
	heavy.Count = 4
	s.submit("second", planQueue, "beta", heavy)
	s.pass(time.Second)
	assert.Equal(t, len(s.workersOf("second")), 0, "three racks are kept for quick jobs")
	s.pass(2 * time.Second)
	assert.Equal(t, len(s.workersOf("second")), 4)
}
