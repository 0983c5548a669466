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

// slowReads takes a time for each read of all jobs or all records, as over a slow link.
type slowReads struct {
	store.Transactor
	takes time.Duration
}

func (s *slowReads) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if prefix != work.SpecPrefix && prefix != work.RecordPrefix {
		return s.Transactor.Range(ctx, prefix)
	}
	select {
	case <-ctx.Done():
		return nil, 0, &store.LostError{Cause: ctx.Err().Error()}
	case <-time.After(s.takes):
		return s.Transactor.Range(ctx, prefix)
	}
}

// runsWithin reports whether the task runs at some moment within the time. It may be stopped later, as it makes no progress.
func (s *site) runsWithin(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if s.running() {
			return true
		}
	}
	return s.running()
}

// Guards against an installation without an owner, and against cancels that nobody sees: reads of all jobs take longer than their first
// timeout, so each attempt was as futile as the one before.
func TestReadsThatTakeLongSucceedInTheEnd(t *testing.T) {
	for _, takes := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t)
			s.submit()
			s.electOn("a", &slowReads{Transactor: s.store, takes: takes}, s.agents, nil)
			assert.Assert(t, s.runsWithin(40*time.Second), "%s", takes)
			s.store.Put(work.CancelKey(job), nil)
			time.Sleep(30 * time.Second)
			assert.Assert(t, !s.running(), "%s", takes)
		})
	}
}
