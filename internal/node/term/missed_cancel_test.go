package term_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// cancelMissingWatch misses cancels in watches.
type cancelMissingWatch struct{ store.Transactor }

func (w cancelMissingWatch) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	deadline := time.Now().Add(wait)
	for {
		changes, upTo, err := w.Transactor.Changes(ctx, prefix, after, time.Until(deadline))
		changes = slices.DeleteFunc(changes, func(c store.Change) bool { return c.Key == work.CancelKey(job) })
		if err != nil || len(changes) > 0 || !time.Now().Before(deadline) {
			return changes, upTo, err
		}
		after = upTo
	}
}

// Guards against a cancel that takes effect late: the watch misses it, and a change shortly before the next list prolongs the watch.
func TestCancelThatTheWatchMissesIsReadByTheNextList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.electOn("a", cancelMissingWatch{s.store}, s.agents, nil)
		s.submit()
		s.eventually("the task runs", s.running)
		time.Sleep(100 * time.Millisecond)
		s.store.Put(work.CancelKey(job), nil)
		cancelled := time.Now()
		time.Sleep(1800 * time.Millisecond)
		s.store.Put(work.CancelKey("0000000000000001"), nil)
		s.eventually("the task is stopped", func() bool { return !s.running() })
		assert.Assert(t, time.Since(cancelled) < 2200*time.Millisecond, "%s", time.Since(cancelled))
	})
}
