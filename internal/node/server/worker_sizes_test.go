package server

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/group"
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

func TestTaskLargerThanAnyWorkerIsUnservable(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &workerSizes{lister: &countingLister{}, reads: event.ListReads(event.Discard(), "workers"), now: func() time.Time { return now }}
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(16)), "", "nothing is known yet")
	s.merge(sized(8), now)
	s.merge(nil, now)
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(8)), "")
	assert.Assert(t, s.unservableReason(t.Context(), "main", needing(9)) != "")
	assert.Equal(t, s.unservableReason(t.Context(), "other", needing(9)), "")
}

// Guards against refusing jobs that fit on workers which joined after the list was read; it is read once a minute.
func TestNoJobIsRefusedByAnOldList(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := &countingLister{workers: sized(8)}
	s := &workerSizes{lister: listed, reads: event.ListReads(event.Discard(), "workers"), now: func() time.Time { return now }}
	assert.Assert(t, s.read(t.Context()))
	now = now.Add(maxSizesAge + time.Second)
	listed.workers = sized(16)
	assert.Equal(t, s.unservableReason(t.Context(), "main", needing(16)), "")
	assert.Assert(t, s.unservableReason(t.Context(), "main", needing(17)) != "")
	assert.Equal(t, listed.reads, 2, "a list that was just read was read again")
}
