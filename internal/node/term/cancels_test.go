package term_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// readMode is how a store treats reads of jobs and cancels.
type readMode int

const (
	served readMode = iota
	// refusing fails them at once, silent never answers them.
	refusing
	silent
)

// troubledReads is a store that treats reads of jobs and cancels as its mode says, and serves all other calls.
type troubledReads struct {
	store.Transactor
	mu   sync.Mutex
	mode readMode
}

func (s *troubledReads) set(mode readMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// err returns the error of a read, nil if it is served.
func (s *troubledReads) err(ctx context.Context, prefix string) error {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch {
	case prefix != work.SpecPrefix || mode == served:
		return nil
	case mode == refusing:
		return &store.UnavailableError{Cause: "connection reset"}
	default:
		<-ctx.Done()
		return &store.LostError{Cause: ctx.Err().Error()}
	}
}

func (s *troubledReads) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if err := s.err(ctx, prefix); err != nil {
		return nil, 0, err
	}
	return s.Transactor.Range(ctx, prefix)
}

func (s *troubledReads) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	if err := s.err(ctx, prefix); err != nil {
		return nil, after, err
	}
	return s.Transactor.Changes(ctx, prefix, after, wait)
}

// dropHistory makes watches that began before return a HistoryError.
func (s *site) dropHistory() {
	s.store.Put(work.SpecKey("0000000000000001")+"/other", nil)
	s.store.CompactHistory()
}

// cancelBound is the time within which an acknowledged cancel is to be carried out.
const cancelBound = 3 * time.Second

// newOutage returns a site with a task that runs, whose owner has had reads refused for 2.5 s and unanswered for 2 s, and still has.
func newOutage(t *testing.T) (*site, *troubledReads) {
	t.Helper()
	s := newSite(t)
	kv := &troubledReads{Transactor: s.store}
	s.electOn("a", kv, s.agents, nil)
	s.submit()
	s.eventually("the task runs", s.running)
	kv.set(refusing)
	time.Sleep(2500 * time.Millisecond)
	kv.set(silent)
	time.Sleep(2 * time.Second)
	return s, kv
}

// assertCancelledSoon asserts that a cancel that was just acknowledged is carried out within its bound.
func (s *site) assertCancelledSoon() {
	s.t.Helper()
	cancelled := time.Now()
	s.eventually("the cancel is carried out", func() bool { return s.record().Phase == work.Cancelled })
	assert.Assert(s.t, time.Since(cancelled) < cancelBound, "%s", time.Since(cancelled))
}

// Guards against acknowledged cancels that are carried out late: after failures at once and then a silent store, whose history is gone,
// one read of all jobs waits for 16 s and the watch waits for it (review/8, UNASKED).
func TestCancelIsSeenSoonAfterAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, kv := newOutage(t)
		kv.set(served)
		s.dropHistory()
		time.Sleep(1500 * time.Millisecond)
		s.store.Put(work.CancelKey(job), nil)
		s.assertCancelledSoon()
	})
}

// The same for a cancel that was acknowledged before the store was back for the owner: no watch shows it, as its history is gone. A list
// that fails at once must not prolong the next one.
func TestCancelOfAnOutageIsSeenSoonAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, kv := newOutage(t)
		s.store.Put(work.CancelKey(job), nil)
		s.dropHistory()
		kv.set(served)
		s.assertCancelledSoon()
	})
}

// Guards against a watch that does not go on, as the list of all jobs fails and the history is gone: it goes on from the latest revision
// that was read.
func TestCancelIsSeenThoughTheJobsCanNotBeListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		kv := &unlistable{Transactor: s.store}
		s.electOn("a", kv, s.agents, nil)
		s.submit()
		s.eventually("the task runs", s.running)
		kv.refuse()
		time.Sleep(time.Second)
		s.dropHistory()
		time.Sleep(2 * time.Second)
		s.store.Put(work.CancelKey(job), nil)
		s.assertCancelledSoon()
	})
}

// unlistable is a store that refuses lists of all jobs.
type unlistable struct {
	store.Transactor
	mu      sync.Mutex
	refuses bool
}

func (s *unlistable) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = true
}

func (s *unlistable) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	s.mu.Lock()
	refuses := s.refuses
	s.mu.Unlock()
	if refuses && prefix == work.SpecPrefix {
		return nil, 0, &store.UnavailableError{Cause: "status 429"}
	}
	return s.Transactor.Range(ctx, prefix)
}

// Guards against an owner that renews its lease and can't learn of cancels, though other instances can read.
func TestOwnerThatCanNotLearnOfCancelsHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleSite(t, [2]refused{}, [2]refused{})
		kv := &troubledReads{Transactor: s.store}
		s.a.Store = kv
		s.a.Limits.CancelAge, s.b.Limits.CancelAge = cancelBound, cancelBound
		s.start()
		time.Sleep(20 * time.Second)
		assert.Assert(t, strings.Contains(s.owner(), `"instance":"a"`), "it resigned without a cause")
		kv.set(silent)
		time.Sleep(cancelBound + 5*time.Second)
		assert.Assert(t, cmp.Contains(s.owner(), `"instance":"b"`))
	})
}
