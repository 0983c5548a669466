package term_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// newLongLeaseSite is a succession in an installation that allows leases of ten seconds, with the owner a and the candidate b.
func newLongLeaseSite(t *testing.T) *succession {
	s := &succession{site: newSite(t)}
	s.maxLease = 10 * time.Second
	s.workers = &crashingAgents{Agents: s.agents}
	s.stops = append(s.stops, s.electWith("a", s.workers, nil))
	s.eventually("a is the owner", func() bool { return s.owner() != "" })
	s.electWith("b", s.workers, nil)
	return s
}

// Guards against tasks of a lost worker that wait for the longest lease that the installation allows, though owners grant shorter ones
// (issue 48, LOST).
func TestLeasesOfAKilledOwnerAreNoLongerThanOwnersGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLongLeaseSite(t)
		s.loseWorker()
		s.instances.remove("a")
		s.stops[0]()
		waited := s.startsAgainAfter()
		assert.Assert(t, waited > 8*time.Second && waited < 9*time.Second, "%s", waited)
	})
}

// Guards against two runs of a task: an owner of an earlier release may have granted the longest leases that the installation allows.
func TestLeasesOfAnOwnerOfAnEarlierReleaseMayBeLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLongLeaseSite(t)
		s.loseWorker()
		lease, err := s.store.Grant(t.Context(), time.Second)
		assert.NilError(t, err)
		s.store.PutWithLease(work.OwnerKey, []byte(`{"instance":"x"}`), lease)
		s.instances.remove("a")
		s.stops[0]()
		time.Sleep(6 * time.Second)
		s.store.ExpireLease(lease)
		waited := s.startsAgainAfter()
		assert.Assert(t, waited > 12*time.Second, "%s", waited)
	})
}

// The same if it was the owner for a moment only.
func TestLeasesOfAnOwnerOfAnEarlierReleaseBetweenMayBeLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLongLeaseSite(t)
		s.loseWorker()
		lease, err := s.store.Grant(t.Context(), time.Second)
		assert.NilError(t, err)
		s.instances.remove("a")
		s.store.PutWithLease(work.OwnerKey, []byte(`{"instance":"x"}`), lease)
		s.stops[0]()
		time.Sleep(500 * time.Millisecond)
		s.store.ExpireLease(lease)
		waited := s.startsAgainAfter()
		assert.Assert(t, waited > 11*time.Second, "%s", waited)
	})
}

// Guards against the longest wait with an owner that has restarted: it has seen nothing before, but other instances have (issue 48, LOST).
func TestOwnerThatHasRestartedAsksWhatOthersHaveSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &succession{site: newSite(t)}
		s.maxLease = 10 * time.Second
		s.workers = &crashingAgents{Agents: s.agents}
		stop := s.electWith("a", s.workers, nil)
		s.eventually("a is the owner", func() bool { return s.owner() != "" })
		// The candidate can't become the owner, as its writes fail.
		s.electOn("b", &readOnlyStore{Transactor: s.store}, s.workers, nil)
		s.loseWorker()
		s.instances.remove("a")
		stop()
		s.electWith("a", s.workers, neighbours{"b"})
		waited := s.startsAgainAfter()
		assert.Assert(t, waited > 8*time.Second && waited < 9*time.Second, "%s", waited)
	})
}

// readOnlyStore refuses all writes.
type readOnlyStore struct{ *fake.Transactor }

func (r *readOnlyStore) Commit(context.Context, store.Transaction) (int64, error) {
	return 0, &store.UnavailableError{Cause: "status 503"}
}

func (r *readOnlyStore) Grant(context.Context, time.Duration) (int64, error) {
	return 0, &store.UnavailableError{Cause: "status 503"}
}
