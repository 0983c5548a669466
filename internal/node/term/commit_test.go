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

func TestNoTransactionExceedsTheStoreLimit(t *testing.T) {
	updates := make([]group.Update, updatesPerCommit)
	for i := range updates {
		updates[i].NoLongerPending = i%2 == 0
		updates[i].Delete = i%3 == 0
	}
	for len(updates) > 0 {
		n := fitCount(updates)
		assert.Assert(t, n > 0)
		used := 1
		for i := range updates[:n] {
			used += entryCount(&updates[i])
		}
		assert.Assert(t, used <= store.MaxEntries)
		updates = updates[n:]
	}
}
