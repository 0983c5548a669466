package sets_test

import (
	"math"
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// decideOnly takes a decision and hands out the changes without making them durable.
func (c *cluster) decideAndUpdate(limit int) []sets.Update {
	c.engine.Decide(true, c.now)
	return c.engine.Updates(limit, c.now)
}

// The pattern: many changes are on their way to the store at a time, and their answers come in any order.
func TestEndIsSettledOnceTheRecordThatHoldsItIsDurable(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "alpha", gang(1, 1))
	c.submit("job-b", planQueue, "alpha", gang(1, 1))
	c.step()
	c.step()
	c.engine.Settle()
	c.exitTask("job-a.0.0.0", sets.Done)
	first := c.decideAndUpdate(math.MaxInt)
	assert.Equal(t, len(first), 1)
	c.exitTask("job-b.0.0.0", sets.Done)
	second := c.decideAndUpdate(math.MaxInt)
	assert.Equal(t, len(second), 1)
	c.engine.Committed(second[0], c.now)
	assert.DeepEqual(t, c.engine.Settle(), map[string]int64{})
	c.engine.Committed(first[0], c.now)
	assert.DeepEqual(t, c.engine.Settle(), map[string]int64{"w0-0": 2})
	assert.DeepEqual(t, c.engine.Settle(), map[string]int64{})
}

// The pattern: a transaction that is on its way has been made from an earlier state of the job than the end that comes now.
func TestEndThatComesWhileItsJobIsOnItsWayWaitsForTheNextRecord(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job", batchQueue, "alpha", work.Step{Count: 2, MilliCores: 1000, Accelerators: 1})
	c.step()
	c.step()
	c.engine.Settle()
	c.exitTask("job.0.0.0", sets.Done)
	first := c.decideAndUpdate(math.MaxInt)
	c.exitTask("job.0.0.1", sets.Done)
	assert.Equal(t, len(c.decideAndUpdate(math.MaxInt)), 0, "a job is never on its way twice")
	c.engine.Committed(first[0], c.now)
	assert.DeepEqual(t, c.engine.Settle(), map[string]int64{"w0-0": 1})
	second := c.decideAndUpdate(math.MaxInt)
	c.engine.Uncommitted(second[0])
	assert.DeepEqual(t, c.engine.Settle(), map[string]int64{})
	again := c.decideAndUpdate(math.MaxInt)
	c.engine.Committed(again[0], c.now)
	assert.DeepEqual(t, c.engine.Settle(), map[string]int64{"w0-0": 2})
}

// The pattern: a worker is reborn while an end of its earlier life is not durable yet; its numbers begin anew.
func TestRestartedWorkerAcknowledgesExitsFromOne(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "alpha", gang(1, 1))
	c.step()
	c.exitTask("job-a.0.0.0", sets.Done)
	c.engine.Listed("w0-0", sets.Listing{Born: 2}, c.now, c.now)
	assert.Equal(t, c.engine.Worker("w0-0").Settled(), int64(0))
	c.engine.Listed("w0-0", sets.Listing{Born: 2, Finished: []sets.FinishedEntry{{Number: 1, Task: "unknown", Run: 1}}}, c.now, c.now)
	assert.DeepEqual(t, c.engine.Settle(), map[string]int64{"w0-0": 1})
}

// The pattern: hundreds of jobs change at once; those whose starts or callers wait for the record go first.
func TestUrgentUpdatesAreHandedOutFirst(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("batch", batchQueue, "beta", work.Step{Count: 4, MilliCores: 1000, Accelerators: 1})
	c.step()
	c.exitTask("batch.0.0.0", sets.Done)
	c.submit("quick", quickQueue, "alpha", gang(2, 1))
	list := c.decideAndUpdate(1)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Job, "quick")
	assert.Equal(t, c.engine.Changed(), 1)
}
