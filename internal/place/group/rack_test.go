package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// newPartlySeenCluster returns two racks of two workers; one in each has not answered for five seconds, so it gets no tasks.
func newPartlySeenCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 2, 2)
	c.silent["w0-1"], c.silent["w1-1"] = true, true
	c.advanceTime(5 * time.Second)
	return c
}

// Guards against spreading a gang that must stay in a rack when it is submitted before all workers have answered a new
// owner, as after all instances were killed.
func TestSameRackGangWaitsForExpectedWorkers(t *testing.T) {
	c := newPartlySeenCluster(t)
	step := gang(2, 8)
	step.SameRack = true
	c.submit("tight", quickQueue, "beta", step)
	c.step()
	assert.DeepEqual(t, c.workersOf("tight"), map[string]int{})
	c.silent["w1-1"] = false
	c.pollAll()
	c.step()
	assert.DeepEqual(t, c.workersOf("tight"), map[string]int{"w1-0": 1, "w1-1": 1})
}

func TestSameRackGangIsSpreadOnceWaitingCostsMore(t *testing.T) {
	c := newPartlySeenCluster(t)
	step := gang(2, 8)
	step.SameRack = true
	c.submit("tight", quickQueue, "beta", step)
	c.advanceTime(2*step.Estimate + time.Second)
	assert.DeepEqual(t, c.workersOf("tight"), map[string]int{"w0-0": 1, "w1-0": 1})
}

// Guards against placing a task away from its data because the rack that holds it answers a little later than the others.
func TestTaskWaitsForTheExpectedRackOfItsData(t *testing.T) {
	c := newPartlySeenCluster(t)
	c.silent["w1-0"] = true
	c.advanceTime(5 * time.Second)
	step := gang(1, 8)
	step.Affinity = "r1"
	c.submit("near", planQueue, "beta", step)
	c.step()
	assert.DeepEqual(t, c.workersOf("near"), map[string]int{})
	c.silent["w1-0"] = false
	c.pollAll()
	c.step()
	assert.DeepEqual(t, c.workersOf("near"), map[string]int{"w1-0": 1})
}

// Guards against a group that waits for the rack of its data (LOST), although no worker there could run it.
func TestGroupDoesNotWaitForARackThatCannotRunIt(t *testing.T) {
	spread := gang(3, 1)
	spread.MaxPerWorker = 1
	for name, c := range map[string]struct {
		step   work.Step
		change func(*group.WorkerInfo)
	}{
		"no worker has the label":   {requiring(gang(1, 1)), func(*group.WorkerInfo) {}},
		"no worker has the service": {gang(1, 1), func(info *group.WorkerInfo) { info.Service = "other" }},
		"it has too few workers":    {spread, func(*group.WorkerInfo) {}},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, 2, 3)
			cl.infos = cl.infos[:5]
			c.change(&cl.infos[3])
			c.change(&cl.infos[4])
			cl.label("w0-0")
			c.step.Affinity = "r1"
			cl.submit("near", planQueue, "beta", c.step)
			cl.step()
			assert.Assert(t, len(cl.workersOf("near")) > 0)
		})
	}
}
