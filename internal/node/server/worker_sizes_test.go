package server

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// countingLister returns a list of workers that may change, and counts the reads.
type countingLister struct {
	workers []group.WorkerInfo
	reads   int
}

func (l *countingLister) Workers(context.Context) ([]group.WorkerInfo, error) {
	l.reads++
	return l.workers, nil
}

func sized(accelerators int) []group.WorkerInfo {
	return []group.WorkerInfo{{Service: "main", Capacity: group.Resources{MilliCores: 32000, MemoryMB: 1000, Accelerators: accelerators}}}
}

func needing(accelerators int) *work.Spec {
	return &work.Spec{Steps: []work.Step{{Count: 1, MilliCores: 1000, Accelerators: accelerators}}}
}

// newSizes returns the sizes as known to an instance that has just started.
func newSizes(lister *countingLister, kvStore store.Transactor, now *time.Time) *workerSizes {
	return &workerSizes{lister: lister, store: kvStore, reads: event.ListReads(event.Discard(), "workers"), log: event.Discard(), now: func() time.Time { return *now }}
}

func TestTaskLargerThanAnyWorkerIsUnservable(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newSizes(&countingLister{}, fake.NewTransactor(), &now)
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(16)), "", "nothing is known yet")
	s.merge(sized(8), nil, now)
	s.merge(nil, nil, now)
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(8)), "")
	assert.Assert(t, s.unservableReason(t.Context(), "main", needing(9)) != "")
	assert.Equal(t, s.unservableReason(t.Context(), "other", needing(9)), "")
}

// Guards against refusing jobs that fit on workers which joined after the list was read; it is read once a minute.
func TestNoJobIsRefusedByAnOldList(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := &countingLister{workers: sized(8)}
	s := newSizes(listed, fake.NewTransactor(), &now)
	assert.Assert(t, s.read(t.Context()))
	now = now.Add(maxSizesAge + time.Second)
	listed.workers = sized(16)
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(16)), "")
	assert.Assert(t, s.unservableReason(t.Context(), "main", needing(17)) != "")
	assert.Equal(t, listed.reads, 2, "a list that was just read was read again")
}

// Guards against refusing jobs that only have to wait: an instance starts while all workers of a service have shrunk for a
// while.
func TestNoJobIsRefusedBecauseTheWorkersHaveShrunkForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	kvStore := fake.NewTransactor()
	assert.Assert(t, newSizes(&countingLister{workers: sized(8)}, kvStore, &now).read(t.Context()))
	started := newSizes(&countingLister{workers: sized(2)}, kvStore, &now)
	assert.Assert(t, started.read(t.Context()))
	assert.Equal(t, started.unservableReason(t.Context(), "main", needing(8)), "")
	assert.Assert(t, started.unservableReason(t.Context(), "main", needing(9)) != "")
	before, err := kvStore.Item(t.Context(), work.SizesKey)
	assert.NilError(t, err)
	assert.Assert(t, started.read(t.Context()))
	after, err := kvStore.Item(t.Context(), work.SizesKey)
	assert.NilError(t, err)
	assert.Equal(t, after.Revision, before.Revision, "sizes that are not larger are not written")
}

// Guards against refusing jobs for sizes that are not known: the stored ones can't be read, or no list has been read lately.
func TestNoJobIsRefusedWithoutASuccessfulRead(t *testing.T) {
	now := time.Unix(1000, 0)
	kvStore := fake.NewTransactor()
	s := newSizes(&countingLister{workers: sized(2)}, kvStore, &now)
	kvStore.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
	assert.Assert(t, !s.read(t.Context()))
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(8)), "")
	kvStore.SetOutcomes(func(string) fake.CallOutcome { return fake.Delivered })
	assert.Assert(t, s.read(t.Context()))
	assert.Assert(t, s.unservableReason(t.Context(), "main", needing(8)) != "")
	kvStore.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
	now = now.Add(maxSizesAge + time.Second)
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(8)), "")
}
