package term_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// deletesDuringReads executes each commit that deletes a job between a read below SpecPrefix and its answer.
type deletesDuringReads struct {
	store.Transactor
	waiting atomic.Bool
	read    chan struct{}
}

func (d *deletesDuringReads) Commit(ctx context.Context, tx store.Transaction) (int64, error) {
	if slices.Contains(tx.Deletes, work.SpecKey(job)) {
		d.waiting.Store(true)
		<-d.read
	}
	return d.Transactor.Commit(ctx, tx)
}

func (d *deletesDuringReads) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	items, asOf, err := d.Transactor.Range(ctx, prefix)
	if prefix == work.SpecPrefix && d.waiting.Swap(false) {
		d.read <- struct{}{}
		time.Sleep(50 * time.Millisecond)
	}
	return items, asOf, err
}

// Guards against a second run of a job that is completed: its record is deleted while a list with its spec is on the way.
func TestJobThatWasDeletedDuringARelistIsNotLoadedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		kv := &deletesDuringReads{Transactor: s.store, read: make(chan struct{})}
		s.electOn("a", kv, s.agents, nil)
		s.submit()
		s.eventually("the task runs", s.running)
		assert.Assert(t, s.agents.ExitTask(task, group.Done))
		// The job is kept for a minute.
		time.Sleep(70 * time.Second)
		for _, key := range []string{work.SpecKey(job), work.RecordKey(job)} {
			item, err := s.store.Item(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, item.Revision, int64(0), "%s: %s", key, item.Data)
		}
	})
}
