package sets_test

import (
	"math"
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// decideOnly takes a decision and hands out the changes without making them durable.
func (s *site) decideOnly(most int) []sets.Update {
	s.engine.Decide(true, s.now)
	return s.engine.Updates(most, s.now)
}

// The pattern: many changes are on their way to the store at a time, and their answers come in any order.
func TestEndIsSettledOnceTheRecordThatHoldsItIsDurable(t *testing.T) {
	s := newSite(t, 1, 1)
	s.submit("job-a", planQueue, "alpha", gang(1, 1))
	s.submit("job-b", planQueue, "alpha", gang(1, 1))
	s.step()
	s.step()
	s.engine.Settle()
	s.end("job-a.0.0.0", sets.Done)
	first := s.decideOnly(math.MaxInt)
	assert.Equal(t, len(first), 1)
	s.end("job-b.0.0.0", sets.Done)
	second := s.decideOnly(math.MaxInt)
	assert.Equal(t, len(second), 1)
	s.engine.Committed(second[0], s.now)
	assert.DeepEqual(t, s.engine.Settle(), map[string]int64{})
	s.engine.Committed(first[0], s.now)
	assert.DeepEqual(t, s.engine.Settle(), map[string]int64{"w0-0": 2})
	assert.DeepEqual(t, s.engine.Settle(), map[string]int64{})
}

// The pattern: a transaction that is on its way has been made from an earlier state of the job than the end that comes now.
func TestEndThatComesWhileItsJobIsOnItsWayWaitsForTheNextRecord(t *testing.T) {
	s := newSite(t, 1, 1)
	s.submit("job", batchQueue, "alpha", work.Step{Count: 2, MilliCores: 1000, Accelerators: 1})
	s.step()
	s.step()
	s.engine.Settle()
	s.end("job.0.0.0", sets.Done)
	first := s.decideOnly(math.MaxInt)
	s.end("job.0.0.1", sets.Done)
	assert.Equal(t, len(s.decideOnly(math.MaxInt)), 0, "a job is never on its way twice")
	s.engine.Committed(first[0], s.now)
	assert.DeepEqual(t, s.engine.Settle(), map[string]int64{"w0-0": 1})
	second := s.decideOnly(math.MaxInt)
	s.engine.Uncommitted(second[0])
	assert.DeepEqual(t, s.engine.Settle(), map[string]int64{})
	again := s.decideOnly(math.MaxInt)
	s.engine.Committed(again[0], s.now)
	assert.DeepEqual(t, s.engine.Settle(), map[string]int64{"w0-0": 2})
}

// The pattern: a worker is reborn while an end of its earlier life is not durable yet; its numbers begin anew.
func TestRebornWorkerSettlesFromOne(t *testing.T) {
	s := newSite(t, 1, 1)
	s.submit("job-a", planQueue, "alpha", gang(1, 1))
	s.step()
	s.end("job-a.0.0.0", sets.Done)
	s.engine.Listed("w0-0", sets.Listing{Born: 2}, s.now, s.now)
	assert.Equal(t, s.engine.Worker("w0-0").Settled(), int64(0))
	s.engine.Listed("w0-0", sets.Listing{Born: 2, Finished: []sets.FinishedEntry{{Number: 1, Task: "unknown", Run: 1}}}, s.now, s.now)
	assert.DeepEqual(t, s.engine.Settle(), map[string]int64{"w0-0": 1})
}

// The pattern: hundreds of jobs change at once; those whose starts or callers wait for the record go first.
func TestChangesThatSomebodyWaitsForAreHandedOutFirst(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit("batch", batchQueue, "beta", work.Step{Count: 4, MilliCores: 1000, Accelerators: 1})
	s.step()
	s.end("batch.0.0.0", sets.Done)
	s.submit("quick", quickQueue, "alpha", gang(2, 1))
	list := s.decideOnly(1)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Job, "quick")
	assert.Equal(t, s.engine.Changed(), 1)
}
