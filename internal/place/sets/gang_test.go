package sets_test

import (
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// flood fills the site with batch tasks of one accelerator, several for each.
func (c *cluster) submitFlood(id string, saves bool) {
	c.submit(id, batchQueue, "beta", work.Step{Count: 400, MilliCores: 1000, MemoryMB: 1000, Accelerators: 1, Estimate: 9 * time.Second, Checkpoints: saves})
	c.step()
}

// The pattern: small batch tasks take each accelerator that becomes free, so that a gang that needs whole workers never
// starts; those that save their progress lose little by a stop.
func TestWideGangPreemptsLessUrgentCheckpointedWork(t *testing.T) {
	c := newCluster(t, 4, 4)
	c.submitFlood("saves", true)
	c.submit("wide", planQueue, "alpha", gang(8, 8))
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 8)
	for _, stop := range c.stops {
		assert.Assert(t, strings.HasPrefix(stop.Task, "saves"))
	}
}

// The pattern: the same with tasks that would begin anew; the fleet is full, so nothing is won by throwing their work away.
func TestWideGangPreemptsNoWorkWithoutCheckpointsOnAFullFleet(t *testing.T) {
	c := newCluster(t, 4, 4)
	c.submitFlood("plain", false)
	c.submit("wide", planQueue, "alpha", gang(8, 8))
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.stops), 0)
}

// The pattern: the gang is so late that its caller gains nothing any more.
func TestExpiredGangPreemptsNothingOnAFullFleet(t *testing.T) {
	c := newCluster(t, 4, 4)
	c.submitFlood("saves", true)
	late := gang(8, 8)
	late.Estimate = time.Second
	spec := &work.Spec{Job: "late", Queue: planQueue, Workspace: "alpha", Steps: []work.Step{late}}
	c.engine.Load(spec, nil, time.Minute, c.now, c.now)
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.stops), 0)
}

// The pattern: at the end of a day gangs that leave much of each worker free hold all racks but those kept for quick jobs, and
// another gang waits although half of the fleet is free.
func TestGangUsesQuickRacksWhileUtilizationIsLow(t *testing.T) {
	c := newCluster(t, 10, 2)
	heavy := work.Step{Count: 14, MilliCores: 13000, MemoryMB: 70000, Accelerators: 1, Estimate: time.Minute, Gang: true}
	c.submit("first", planQueue, "beta", heavy)
	c.step()
	assert.Equal(t, len(c.workersOf("first")), 14)
	heavy.Count = 4
	c.submit("second", planQueue, "beta", heavy)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("second")), 0, "three racks are kept for quick jobs")
	c.advanceTime(2 * time.Second)
	assert.Equal(t, len(c.workersOf("second")), 4)
}
