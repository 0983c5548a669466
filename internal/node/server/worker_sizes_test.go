package server

import (
	"context"
	"fmt"
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
	clock := func() time.Time { return *now }
	return &workerSizes{lister: lister, store: kvStore, reads: event.ListReads(event.Discard(), "workers"), log: event.Discard(), now: clock, wallNow: clock}
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

// Guards against jobs that are too large for any worker and yet accepted for ever, as one odd entry has said otherwise: sizes that
// are out of bounds count as absent, and others are forgotten, also after a restart.
func TestSizeOfAnOddEntryIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	kvStore := fake.NewTransactor()
	kvStore.Put(work.SizesKey, []byte(`{"main":{"milliCores":1,"memoryMB":1,"accelerators":20000000}}`))
	listed := &countingLister{workers: append(sized(8), sized(1000)...)}
	s := newSizes(listed, kvStore, &now)
	assert.Assert(t, s.read(t.Context()))
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(1000)), "")
	assert.Assert(t, s.unservableReason(t.Context(), "main", needing(1001)) != "", "the stored size is out of bounds")
	listed.workers = sized(8)
	for range 26 {
		now = now.Add(time.Hour)
		assert.Assert(t, s.read(t.Context()))
	}
	assert.Assert(t, s.unservableReason(t.Context(), "main", needing(9)) != "")
	started := newSizes(listed, kvStore, &now)
	assert.Assert(t, started.read(t.Context()))
	assert.Equal(t, started.unservableReason(t.Context(), "main", needing(8)), "")
	assert.Assert(t, started.unservableReason(t.Context(), "main", needing(9)) != "")
}

// Guards against forgetting a size that workers have had within a day, and against a write at each read.
func TestSizesAreKeptForADayAndSeldomWritten(t *testing.T) {
	now := time.Unix(1000, 0)
	kvStore := fake.NewTransactor()
	listed := &countingLister{workers: sized(8)}
	s := newSizes(listed, kvStore, &now)
	writes, last := 0, int64(0)
	read := func(hours int) {
		for range hours * 60 {
			now = now.Add(time.Minute)
			assert.Assert(t, s.read(t.Context()))
			item, err := kvStore.Item(t.Context(), work.SizesKey)
			assert.NilError(t, err)
			if item.Revision != last {
				writes, last = writes+1, item.Revision
			}
		}
	}
	read(48)
	assert.Assert(t, writes <= 49, "%d writes", writes)
	listed.workers = sized(2)
	read(22)
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(8)), "")
}

// Guards against a stored value that grows with each service that an odd entry names.
func TestServicesOfOddEntriesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	kvStore := fake.NewTransactor()
	listed := &countingLister{}
	for i := range 10 * maxServices {
		w := sized(8)[0]
		w.Service = fmt.Sprint("odd-", i)
		listed.workers = append(listed.workers, w)
	}
	s := newSizes(listed, kvStore, &now)
	assert.Assert(t, s.read(t.Context()))
	assert.Equal(t, len(s.largest), maxServices)
	listed.workers = sized(8)
	for range 2 {
		now = now.Add(sizeRetention + time.Second)
		assert.Assert(t, s.read(t.Context()))
	}
	assert.Equal(t, len(s.largest), 1)
}
