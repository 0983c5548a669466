package term

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// changing returns a term with so many jobs whose records are not durable.
func changing(jobs int, now time.Time) *term {
	t := newTerm(&Elector{Log: event.Discard(), Now: func() time.Time { return now }}, 1, 1, now)
	for i := range jobs {
		t.engine.Load(&work.Spec{Job: fmt.Sprintf("%016x", i), Queue: "plan", Steps: []work.Step{{Count: 1}}}, nil, 0, now, now)
	}
	return t
}

// The pattern: a rush changes hundreds of jobs at a time, and the service answers each transaction in milliseconds.
func TestFullTransactionsLeaveSideBySide(t *testing.T) {
	now := time.Unix(1000, 0)
	for jobs, want := range map[int][]int{
		3:   {3},
		20:  {updatesPerCommit},
		40:  {updatesPerCommit, updatesPerCommit},
		900: make([]int, commitsMost),
	} {
		term := changing(jobs, now)
		var sizes []int
		for list := term.takeUpdates(now); len(list) > 0; list = term.takeUpdates(now) {
			sizes = append(sizes, len(list))
		}
		assert.Equal(t, len(sizes), len(want), "%d jobs have changed", jobs)
		for i, size := range want {
			assert.Assert(t, size == 0 || sizes[i] == size)
		}
	}
}

// The pattern: the service is down; every transaction that fails is followed by one, not by as many as could be full.
func TestOneTransactionAtATimeWhileTheServiceFails(t *testing.T) {
	now := time.Unix(1000, 0)
	term := changing(900, now)
	term.commitFailed = true
	assert.Equal(t, len(term.takeUpdates(now)), updatesPerCommit)
	assert.Equal(t, len(term.takeUpdates(now)), 0)
}

func TestNoTransactionIsLargerThanTheServiceTakes(t *testing.T) {
	updates := make([]sets.Update, updatesPerCommit)
	for i := range updates {
		updates[i].Begun = i%2 == 0
		updates[i].Forget = i%3 == 0
	}
	for len(updates) > 0 {
		n := fitting(updates)
		assert.Assert(t, n > 0)
		used := 1
		for i := range updates[:n] {
			used += entries(&updates[i])
		}
		assert.Assert(t, used <= store.MaxEntries)
		updates = updates[n:]
	}
}
