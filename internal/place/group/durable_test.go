package group_test

import (
	"math"
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// decideAndUpdate takes a decision and returns up to limit updates without committing them.
func (c *cluster) decideAndUpdate(limit int) []group.Update {
	c.engine.Decide(true, c.now)
	return c.engine.Updates(limit, c.now)
}

// Guards against acknowledging an exit whose record is not durable: many updates are in flight at a time, and the store
// answers them in any order.
func TestEndIsSettledOnceTheRecordThatHoldsItIsDurable(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "alpha", gang(1, 1))
	c.submit("job-b", planQueue, "alpha", gang(1, 1))
	c.step()
	c.step()
	c.engine.NewlyDurableExits()
	c.exitTask("job-a.0.0.0", group.Done)
	first := c.decideAndUpdate(math.MaxInt)
	assert.Equal(t, len(first), 1)
	c.exitTask("job-b.0.0.0", group.Done)
	second := c.decideAndUpdate(math.MaxInt)
	assert.Equal(t, len(second), 1)
	c.engine.Committed(second[0], c.now)
	assert.DeepEqual(t, c.engine.NewlyDurableExits(), map[string]int64{})
	c.engine.Committed(first[0], c.now)
	assert.DeepEqual(t, c.engine.NewlyDurableExits(), map[string]int64{"w0-0": 2})
	assert.DeepEqual(t, c.engine.NewlyDurableExits(), map[string]int64{})
}

// Guards against acknowledging an exit when an update commits that was made before the exit was applied.
func TestEndThatComesWhileItsJobIsOnItsWayWaitsForTheNextRecord(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job", batchQueue, "alpha", work.Step{Count: 2, MilliCores: 1000, Accelerators: 1})
	c.step()
	c.step()
	c.engine.NewlyDurableExits()
	c.exitTask("job.0.0.0", group.Done)
	first := c.decideAndUpdate(math.MaxInt)
	c.exitTask("job.0.0.1", group.Done)
	assert.Equal(t, len(c.decideAndUpdate(math.MaxInt)), 0, "a job never has two updates in flight")
	c.engine.Committed(first[0], c.now)
	assert.DeepEqual(t, c.engine.NewlyDurableExits(), map[string]int64{"w0-0": 1})
	second := c.decideAndUpdate(math.MaxInt)
	c.engine.Uncommitted(second[0])
	assert.DeepEqual(t, c.engine.NewlyDurableExits(), map[string]int64{})
	again := c.decideAndUpdate(math.MaxInt)
	c.engine.Committed(again[0], c.now)
	assert.DeepEqual(t, c.engine.NewlyDurableExits(), map[string]int64{"w0-0": 2})
}

// Guards against acknowledging exits of the wrong incarnation: a worker restarts, and numbers its exits from one again,
// while an exit of its earlier incarnation is not durable yet.
func TestExitNumbersOfARestartedWorkerBeginAtOne(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "alpha", gang(1, 1))
	c.step()
	c.exitTask("job-a.0.0.0", group.Done)
	c.engine.ApplyListing("w0-0", group.Listing{Incarnation: 2}, c.now, c.now)
	assert.Equal(t, c.engine.Worker("w0-0").DurableExit(), int64(0))
	c.engine.ApplyListing("w0-0", group.Listing{Incarnation: 2, Exits: []group.ExitEntry{{Number: 1, Task: "unknown", Run: 1}}}, c.now, c.now)
	assert.DeepEqual(t, c.engine.NewlyDurableExits(), map[string]int64{"w0-0": 1})
}

// Guards against delaying starts and callers that wait for a record when hundreds of jobs change at once.
func TestUrgentUpdatesAreHandedOutFirst(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("batch", batchQueue, "beta", work.Step{Count: 4, MilliCores: 1000, Accelerators: 1})
	c.step()
	c.exitTask("batch.0.0.0", group.Done)
	c.submit("quick", quickQueue, "alpha", gang(2, 1))
	list := c.decideAndUpdate(1)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Job, "quick")
	assert.Equal(t, c.engine.ChangedJobs(), 1)
}
