package term_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// onePath is a store of which, after the first list of jobs, only some ways to find a new job work.
type onePath struct {
	store.Transactor
	watch, list, scan bool
	// historyGone makes a watch that does not work return a HistoryError.
	historyGone bool
	loaded      bool
}

func (p *onePath) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	switch {
	case prefix != work.SpecPrefix || p.watch:
		return p.Transactor.Changes(ctx, prefix, after, wait)
	case p.historyGone:
		return nil, after, &store.HistoryError{After: after}
	default:
		return nil, after, &store.UnavailableError{Cause: "status 429"}
	}
}

func (p *onePath) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	works := prefix == work.SpecPrefix && (p.list || !p.loaded) || prefix == work.WaitPrefix && p.scan || prefix != work.SpecPrefix && prefix != work.WaitPrefix
	if prefix == work.SpecPrefix {
		p.loaded = true
	}
	if !works {
		return nil, 0, &store.UnavailableError{Cause: "status 429"}
	}
	return p.Transactor.Range(ctx, prefix)
}

// Guards against a job that its owner never loads: of the watch, the list of all jobs and the scan of those that wait, only some work
// (issue 48, LOST).
func TestJobIsFoundWhicheverReadWorks(t *testing.T) {
	for mask := 1; mask < 8; mask++ {
		for _, historyGone := range []bool{false, true} {
			kv := onePath{watch: mask&1 != 0, list: mask&2 != 0, scan: mask&4 != 0, historyGone: historyGone}
			t.Run(fmt.Sprintf("watch=%t,list=%t,scan=%t,historyGone=%t", kv.watch, kv.list, kv.scan, historyGone), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(t)
					kv.Transactor = s.store
					s.electOn("a", &kv, s.agents, nil)
					time.Sleep(10 * time.Second)
					s.submit()
					s.store.Put(work.WaitKey("plan", job), nil)
					assert.Assert(t, s.runsWithin(3*time.Second))
				})
			})
		}
	}
}
