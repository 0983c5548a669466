package term

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// termWithChanges returns a term with the given number of jobs whose records are not durable.
func termWithChanges(jobs int, now time.Time) *term {
	t := newTerm(&Elector{Log: event.Discard(), Now: func() time.Time { return now }}, 1, 1, now)
	for i := range jobs {
		t.engine.Load(&work.Spec{Job: fmt.Sprintf("%016x", i), Queue: "plan", Steps: []work.Step{{Count: 1}}}, nil, 0, now, now)
	}
	return t
}

// Guards against slow commits in a burst: hundreds of jobs change at a time, and the store answers each transaction in
// milliseconds, so full transactions must not wait for each other.
func TestFullTransactionsLeaveSideBySide(t *testing.T) {
	now := time.Unix(1000, 0)
	for jobs, want := range map[int][]int{
		3:   {3},
		20:  {updatesPerCommit},
		40:  {updatesPerCommit, updatesPerCommit},
		900: make([]int, maxCommitsInFlight),
	} {
		term := termWithChanges(jobs, now)
		var sizes []int
		for list := term.nextUpdates(now); len(list) > 0; list = term.nextUpdates(now) {
			sizes = append(sizes, len(list))
		}
		assert.Equal(t, len(sizes), len(want), "%d jobs changed", jobs)
		for i, size := range want {
			assert.Assert(t, size == 0 || sizes[i] == size)
		}
	}
}

// Guards against overloading a store that fails: a failed commit is followed by one commit, not by as many as could be full.
func TestOneTransactionAtATimeWhileTheStoreFails(t *testing.T) {
	now := time.Unix(1000, 0)
	term := termWithChanges(900, now)
	term.commitFailed = true
	assert.Equal(t, len(term.nextUpdates(now)), updatesPerCommit)
	assert.Equal(t, len(term.nextUpdates(now)), 0)
}

// Guards against transactions that the store rejects for their number of entries, as each kind of update takes another number.
func TestNoTransactionExceedsTheStoreLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, limit := range []int{4, 6, store.MaxEntries} {
		term := termWithChanges(0, now)
		term.Limits.MaxEntries = limit
		var updates []group.Update
		for i := range updatesPerCommit {
			u := group.Update{Job: fmt.Sprintf("%016x", i), Head: true, NoLongerPending: i%2 == 0, Delete: i%3 == 0}
			term.addPartKey(u.Job, work.PartKey(u.Job, 0))
			if i%4 == 0 {
				u.Record.Division = 1
				for _, part := range []work.Part{{Division: 1, Groups: make([]work.GroupRecord, 3)}, {Division: 1, First: 3, Groups: make([]work.GroupRecord, 1)}} {
					u.Parts = append(u.Parts, group.ChangedPart{Part: part})
				}
			}
			updates = append(updates, u)
		}
		var pieces []piece
		for _, w := range term.prepareWrites(updates) {
			pieces = append(pieces, w.pieces...)
		}
		for len(pieces) > 0 {
			n := term.fitCount(pieces)
			assert.Assert(t, n > 0)
			tx := term.buildTransaction(pieces[:n])
			assert.Assert(t, len(tx.Expected)+len(tx.Writes)+len(tx.Deletes) <= limit, "%+v", tx)
			pieces = pieces[n:]
		}
	}
}

// BenchmarkChangeOfOneTask encodes a change of one task of the largest job, all of whose tasks run.
func BenchmarkChangeOfOneTask(b *testing.B) {
	now := time.Unix(1000, 0)
	term := termWithChanges(0, now)
	spec := &work.Spec{Job: fmt.Sprintf("%016x", 1), Queue: "plan", Steps: []work.Step{{Count: work.MaxTasks, Checkpoints: true}}}
	record := &work.Record{Phase: work.Running, Groups: make([]work.GroupRecord, work.MaxTasks)}
	for i := range record.Groups {
		record.Groups[i] = work.GroupRecord{Run: 1, Workers: []string{fmt.Sprintf("i-%08x", i%1000)}, Checkpoint: "00000bb87a21d94b"}
	}
	term.engine.Load(spec, record, 0, now, now)
	commit := func() (size int) {
		for _, w := range term.prepareWrites(term.engine.Updates(1, now)) {
			for _, p := range w.pieces {
				size += len(p.data)
			}
			term.engine.Committed(w.update, now)
		}
		return size
	}
	exit := func(i int) {
		end := group.ExitEntry{Number: int64(i/1000 + 1), Task: fmt.Sprintf("%s.0.0.%d", spec.Job, i%work.MaxTasks), Run: 1, Status: group.Done}
		term.engine.ApplyListing(fmt.Sprintf("i-%08x", i%1000), group.Listing{Incarnation: 1, Exits: []group.ExitEntry{end}, MoreExits: true}, now, now)
	}
	exit(0)
	commit()
	size, i := 0, 0
	for b.Loop() {
		i++
		exit(i)
		size += commit()
	}
	b.ReportMetric(float64(size)/float64(i), "bytes/op")
}
