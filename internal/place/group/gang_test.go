package group_test

import (
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// submitFlood submits more batch tasks of one accelerator than the cluster has accelerators.
func (c *cluster) submitFlood(id string, saves bool) {
	c.submit(id, batchQueue, "beta", work.Step{Count: 400, MilliCores: 1000, MemoryMB: 1000, Accelerators: 1, Estimate: 9 * time.Second, Checkpoints: saves})
	c.step()
}

// Guards against starvation of a gang that needs whole workers while small batch tasks take each accelerator that becomes
// free; tasks with checkpoints lose little by a stop.
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

// Guards against discarding the work of tasks without checkpoints: on a full fleet nothing is gained by restarting them.
func TestWideGangPreemptsNoWorkWithoutCheckpointsOnAFullFleet(t *testing.T) {
	c := newCluster(t, 4, 4)
	c.submitFlood("plain", false)
	c.submit("wide", planQueue, "alpha", gang(8, 8))
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.stops), 0)
}

// Guards against preemption for a gang that is so late that its result has lost its value to the caller.
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

// Guards against a gang that waits although half of the fleet is free: other gangs occupy a part of each worker on all racks
// except those reserved for quick jobs, as at the end of a day.
func TestGangUsesQuickRacksWhileUtilizationIsLow(t *testing.T) {
	c := newCluster(t, 10, 2)
	heavy := work.Step{Count: 14, MilliCores: 13000, MemoryMB: 70000, Accelerators: 1, Estimate: time.Minute, Gang: true}
	c.submit("first", planQueue, "beta", heavy)
	c.step()
	assert.Equal(t, len(c.workersOf("first")), 14)
	heavy.Count = 4
	c.submit("second", planQueue, "beta", heavy)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("second")), 0, "three racks are reserved for quick jobs")
	c.advanceTime(2 * time.Second)
	assert.Equal(t, len(c.workersOf("second")), 4)
}
