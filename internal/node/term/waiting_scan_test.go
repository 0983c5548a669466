package term_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// brokenItem never returns one spec, and none of the changes and lists of jobs after the first list.
type brokenItem struct {
	store.Transactor
	key    string
	listed bool
}

func (b *brokenItem) Item(ctx context.Context, key string) (store.Item, error) {
	if key == b.key {
		return store.Item{}, &store.LostError{Cause: "unreadable answer"}
	}
	return b.Transactor.Item(ctx, key)
}

func (b *brokenItem) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if prefix == work.SpecPrefix {
		if b.listed {
			return nil, 0, &store.LostError{Cause: "unreadable answer"}
		}
		b.listed = true
	}
	return b.Transactor.Range(ctx, prefix)
}

// Guards against jobs that are not found as another one, which comes before them, can't be read.
func TestJobThatCanNotBeReadHidesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		const unreadable, later = "00000000000000a1", "00000000000000b2"
		s.electOn("a", &brokenItem{Transactor: s.store, key: work.SpecKey(unreadable)}, s.agents, nil)
		time.Sleep(3 * time.Second)
		s.put(unreadable, work.Step{Count: 1, MilliCores: 1})
		s.put(later, work.Step{Count: 1, MilliCores: 1})
		time.Sleep(time.Second)
		assert.Assert(t, s.agents.WorkerOf(taskOf(later, 0)) != "")
	})
}
