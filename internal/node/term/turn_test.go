package term_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// refusedReads refuses the reads of all jobs until a time, as a store does that rejects a part of an instance's calls.
type refusedReads struct {
	store.Transactor
	until time.Time
}

func (r *refusedReads) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if prefix == work.SpecPrefix && time.Now().Before(r.until) {
		return nil, 0, &store.UnavailableError{Cause: "status 429"}
	}
	return r.Transactor.Range(ctx, prefix)
}

// Guards against an installation in which nothing starts, as an owner renews its lease and never finishes loading (issue 48, LOST).
func TestOwnerThatCanNotLoadLeavesItsTurnToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.electOn("a", &refusedReads{Transactor: s.store, until: time.Now().Add(time.Hour)}, s.agents, nil)
		time.Sleep(time.Second)
		assert.Assert(t, cmp.Contains(s.owner(), `"instance":"a"`))
		s.elect("b")
		s.submit()
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.running())
		assert.Assert(t, cmp.Contains(s.owner(), `"instance":"b"`))
	})
}

// Guards against an owner that takes the place of one that can load, each time that the latter is lost.
func TestInstanceThatCouldNotLoadLeavesAFreeKeyToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.electOn("a", &refusedReads{Transactor: s.store, until: time.Now().Add(time.Hour)}, s.agents, nil)
		time.Sleep(time.Second)
		stop := s.elect("b")
		time.Sleep(3 * time.Second)
		stop()
		time.Sleep(500 * time.Millisecond)
		s.elect("c")
		s.submit()
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, s.running())
	})
}

// Guards against an installation of one instance that is without an owner for long after its store has answered again.
func TestOnlyInstanceLoadsOnceItsReadsPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.submit()
		s.electOn("a", &refusedReads{Transactor: s.store, until: time.Now().Add(20 * time.Second)}, s.agents, nil)
		assert.Assert(t, s.runsWithin(22*time.Second))
	})
}

// Guards against an installation without an owner, as reads take long for all instances and each starts with a short timeout.
func TestReadsThatTakeLongForAllSucceedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.submit()
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			s.electOn(name, &slowReads{Transactor: s.store, takes: 3 * time.Second}, s.agents, nil)
		}
		assert.Assert(t, s.runsWithin(22*time.Second))
	})
}

// Guards against a small instance that never loads the jobs of a busy day over its link, as each of its terms ends sooner and begins
// with the shortest timeout again.
func TestTimeToLoadGrowsFromTermToTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.submit()
		s.electOn("a", &slowReads{Transactor: s.store, takes: 1400 * time.Millisecond}, s.agents, nil)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.endTermsAfter(3*time.Second, 30*time.Second)
		}()
		runs := s.runsWithin(30 * time.Second)
		<-ended
		assert.Assert(t, runs)
	})
}

// endTermsAfter ends each term when the owner has held its lease for the time, until the limit is over.
func (s *site) endTermsAfter(held, limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if item, err := s.store.Item(s.t.Context(), work.OwnerKey); err == nil && item.Lease != 0 {
			time.Sleep(held)
			s.store.ExpireLease(item.Lease)
		}
	}
}
