package group_test

import (
	"math"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// resize changes the capacity in the worker's entry to the given number of accelerators, with a share of the rest.
func (c *cluster) resize(id string, accelerators int) {
	for i := range c.infos {
		if c.infos[i].ID == id {
			c.infos[i].Capacity = group.Resources{MilliCores: 4000 * accelerators, MemoryMB: 16000 * accelerators, Accelerators: accelerators}
		}
	}
	c.engine.SetWorkers(c.infos, c.now)
}

// single is a step of independent tasks.
func single(count, accelerators int) work.Step {
	return work.Step{Count: count, MilliCores: 1000, MemoryMB: 1000, Accelerators: accelerators, Estimate: 8 * time.Second}
}

// Guards against a start beyond a worker's capacity: the worker shrinks while the intent record of a run is being written.
func TestRunPlannedOnAWorkerThatHasShrunkIsWithdrawn(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.engine.Decide(true, c.now)
	updates := c.engine.Updates(math.MaxInt, c.now)
	c.resize("w0-0", 4)
	c.engine.Decide(true, c.now)
	for _, u := range updates {
		c.engine.Committed(u, c.now)
	}
	c.step()
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{})
	assert.Equal(t, c.engine.Worker("w0-0").Used, group.Resources{})
	c.resize("w0-0", 8)
	c.step()
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{"w0-0": 1})
}

// Guards against a start beyond a worker's capacity: the worker shrinks after the start was ordered and before it is sent.
func TestOrderedStartThatHasNotLeftIsWithdrawnFromAWorkerThatHasShrunk(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	c.resize(order.Worker, 4)
	c.step()
	assert.Assert(t, !order.Member.StartWanted())
	assert.Equal(t, c.workersOf("job-a")[order.Worker], 0)
	assert.Equal(t, len(c.workersOf("job-a")), 1, "it starts on the other worker")
}

// Guards against giving up more than necessary: only as many starts are withdrawn as no longer fit, the least urgent first.
func TestOnlyTheLeastUrgentStartsAreWithdrawnFromAWorkerThatHasShrunk(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("batch", batchQueue, "beta", single(2, 2))
	c.submit("quick", quickQueue, "beta", single(2, 2))
	c.engine.Decide(true, c.now)
	c.resize("w0-0", 6)
	c.step()
	assert.DeepEqual(t, c.workersOf("quick"), map[string]int{"w0-0": 2})
	assert.DeepEqual(t, c.workersOf("batch"), map[string]int{"w0-0": 1})
}

// Guards against stopping tasks because their worker has shrunk, and against placing more there before it has room again.
func TestRunningTasksStayOnAWorkerThatHasShrunk(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "beta", single(8, 1))
	c.step()
	c.resize("w0-0", 2)
	c.submit("job-b", planQueue, "beta", single(1, 1))
	c.advanceTime(2 * time.Second)
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{"w0-0": 8})
	for range 6 {
		c.exitTask(c.oldestTask("job-a"), group.Done)
		c.step()
	}
	assert.Equal(t, len(c.workersOf("job-b")), 0, "two tasks use all that is left")
	c.exitTask(c.oldestTask("job-a"), group.Done)
	c.step()
	assert.DeepEqual(t, c.workersOf("job-b"), map[string]int{"w0-0": 1})
}

// Guards against a gang that is started in part: a worker of one member shrinks before the starts of all members have left.
func TestGangIsWithdrawnAsAWholeWhenOneOfItsWorkersShrinks(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.submit("job-a", planQueue, "beta", gang(2, 8))
	order := c.lastStartOrder()
	c.resize(order.Worker, 4)
	c.step()
	assert.Equal(t, len(c.stops), 0, "no start had left")
	assert.Equal(t, c.workersOf("job-a")[order.Worker], 0)
	assert.Equal(t, len(c.workersOf("job-a")), 2)
}

// Guards against a job that never runs: it fits on no worker for a while, and room comes back.
func TestJobThatNoLongerFitsWaitsUntilItsRoomIsBack(t *testing.T) {
	for name, queue := range map[string]string{"quick": quickQueue, "plan": planQueue, "batch": batchQueue} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 2)
			for _, info := range c.infos {
				c.resize(info.ID, 0)
			}
			job := c.submit("job-a", queue, "alpha", gang(2, 8))
			c.advanceTime(15 * time.Second)
			assert.Equal(t, job.Record.Phase, work.Queued)
			for _, info := range c.infos {
				c.resize(info.ID, 8)
			}
			c.step()
			assert.Equal(t, len(c.workersOf("job-a")), 2)
		})
	}
}

// listedAs changes the worker's incarnation and kind in the list of workers only.
func (c *cluster) listedAs(id string, incarnation int64, accelerators int, labels ...string) {
	for i := range c.infos {
		if c.infos[i].ID == id {
			c.infos[i].Incarnation, c.infos[i].Labels = incarnation, labels
		}
	}
	c.resize(id, accelerators)
}

// Guards against starts on the capacity of an earlier incarnation: a poll shows the restart before the entry of the new
// incarnation is listed, which is of a smaller kind.
func TestNothingStartsOnAWorkerWhoseEntryIsOfAnEarlierIncarnation(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.engine.ApplyListing("w0-0", group.Listing{Incarnation: 2}, c.now, c.now)
	c.engine.SetWorkers(c.infos, c.now)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.submit("job-b", planQueue, "beta", gang(1, 4))
	c.step()
	assert.Equal(t, len(c.running["w0-0"]), 0)
	c.listedAs("w0-0", 2, 4, "b", "r0")
	c.step()
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{})
	assert.DeepEqual(t, c.workersOf("job-b"), map[string]int{"w0-0": 1})
}

// Guards against starts on the capacity of an earlier incarnation: the restart is noticed while the intent record of a run is
// being written.
func TestRunPlannedOnAnEarlierIncarnationIsWithdrawnUntilTheNewOneIsListed(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.engine.Decide(true, c.now)
	c.engine.ApplyListing("w0-0", group.Listing{Incarnation: 2}, c.now, c.now)
	c.step()
	assert.Equal(t, len(c.running["w0-0"]), 0)
	c.listedAs("w0-0", 2, 8, "a", "r0")
	c.step()
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{"w0-0": 1})
}

// Guards against a start on a worker without the required label: the worker restarts as another kind while the intent record
// of a run is being written.
func TestRunPlannedOnAWorkerThatIsNowOfAnotherKindIsWithdrawn(t *testing.T) {
	c := newCluster(t, 1, 1)
	step := gang(1, 4)
	step.Requires = "a"
	c.submit("job-a", planQueue, "beta", step)
	c.engine.Decide(true, c.now)
	c.listedAs("w0-0", 2, 8, "b", "r0")
	c.step()
	assert.Equal(t, len(c.running["w0-0"]), 0)
}

// preemptedForQuick returns a cluster of two full workers in which a quick job has preempted the work on one, and that worker.
func preemptedForQuick(t *testing.T) (c *cluster, reserved, other string) {
	t.Helper()
	c = newCluster(t, 1, 2)
	c.submit("full-a", batchQueue, "beta", gang(1, 8))
	c.submit("full-b", batchQueue, "beta", gang(1, 8))
	c.step()
	quick := gang(1, 8)
	quick.Requires = "a"
	c.submit("quick", quickQueue, "alpha", quick)
	c.silent["w0-0"], c.silent["w0-1"] = true, true
	c.step()
	assert.Equal(t, len(c.stops), 1)
	c.silent["w0-0"], c.silent["w0-1"] = false, false
	if c.stops[0].Worker == "w0-0" {
		return c, "w0-0", "w0-1"
	}
	return c, "w0-1", "w0-0"
}

// Guards against a job that waits for reserved room which can't become free: the worker shrinks below what the job needs.
func TestReservationOnAWorkerThatHasBecomeTooSmallIsDropped(t *testing.T) {
	c, reserved, other := preemptedForQuick(t)
	c.resize(reserved, 4)
	c.step()
	c.step()
	assert.DeepEqual(t, c.workersOf("quick"), map[string]int{other: 1})
}

// Guards against a start on a worker without the required label: the worker restarts as another kind while room is reserved
// there.
func TestReservationOnAWorkerThatIsNowOfAnotherKindIsDropped(t *testing.T) {
	c, reserved, other := preemptedForQuick(t)
	c.restart(reserved, 2)
	c.listedAs(reserved, 2, 8, "b", "r0")
	c.poll(reserved)
	c.step()
	c.step()
	assert.DeepEqual(t, c.workersOf("quick"), map[string]int{other: 1})
	for _, decision := range c.decisions {
		assert.Assert(t, decision.Kind != group.RunPlaced || decision.Job != "quick" || decision.Worker == other)
	}
}

// Guards against jobs that wait beside idle room: what runs beyond the capacity of workers that have shrunk counted as use of
// the others, and the racks that are set aside for quick jobs stayed closed.
func TestRacksForQuickJobsOpenThoughShrunkWorkersAreOverfull(t *testing.T) {
	c := newCluster(t, 10, 1)
	quickRacks := 0
	c.submit("long", planQueue, "beta", single(7, 8))
	c.step()
	for _, info := range c.infos {
		if len(c.running[info.ID]) == 0 {
			quickRacks++
			continue
		}
		c.resize(info.ID, 1)
	}
	assert.Equal(t, quickRacks, 3)
	c.submit("small", planQueue, "beta", single(1, 1))
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.workersOf("small")), 1)
}
