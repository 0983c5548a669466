package server

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// settled returns a fleet that has run for longer than unsteadyPeriod.
func settled(t *testing.T, size int) *countedFleet {
	t.Helper()
	f := newCountedFleet(t, size)
	t.Cleanup(f.run(t))
	time.Sleep(20 * time.Second)
	return f
}

// oldestProof returns the greatest age of the configuration's proof among the owners, or among the others.
func (f *countedFleet) oldestProof(owners bool) (oldest time.Duration) {
	for _, s := range f.instances {
		if _, confirmedAt := s.policy.Current(); s.elector.Owns() == owners {
			oldest = max(oldest, time.Since(confirmedAt))
		}
	}
	return oldest
}

// sampling is the interval at which until looks at the instances, so its results may be longer by as much.
const sampling = time.Millisecond

// until waits until holds is true for all instances, and returns how long that took.
func (f *countedFleet) until(holds func(*Server) bool) time.Duration {
	began := time.Now()
	for _, s := range f.instances {
		for !holds(s) {
			time.Sleep(sampling)
		}
	}
	return time.Since(began)
}

// Guards against starts and keys that depend on an older proof: the owner's, and that of a small deployment, is as young as before, and
// that of one among many leaves time for a retry within 1.8 s.
func TestProofsOfTheConfigurationAreYoungEnough(t *testing.T) {
	for size, want := range map[int]time.Duration{3: 400 * time.Millisecond, 8: 400 * time.Millisecond, 41: 1200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := settled(t, size)
			var owners, others time.Duration
			for range 1000 {
				time.Sleep(7 * time.Millisecond)
				owners, others = max(owners, f.oldestProof(true)), max(others, f.oldestProof(false))
			}
			assert.Check(t, owners > 0 && owners <= 400*time.Millisecond, "owner among %d: %s", size, owners)
			assert.Check(t, others <= want, "others among %d: %s", size, others)
		})
	}
}

// Guards against a new configuration that an instance among many applies late.
func TestNewConfigurationIsAppliedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, countedInstances)
		item, err := f.store.Transactor.Item(t.Context(), "config")
		assert.NilError(t, err)
		f.store.Put("config", nil)
		took := f.until(func(s *Server) bool {
			snapshot, _ := s.policy.Current()
			return snapshot.Policy.Version > item.Revision
		})
		assert.Check(t, took <= 1200*time.Millisecond+sampling, "%s", took)
	})
}

// Guards against an instance among many that notices an outage of the store, or its end, later than one that always reads.
func TestOutageAndItsEndAreNoticedAsSoonAsByReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, countedInstances)
		f.store.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
		noticed := f.until(func(s *Server) bool { return s.policy.Failing() })
		assert.Check(t, noticed <= 400*time.Millisecond+sampling, "%s", noticed)
		unready := noticed + f.until(func(s *Server) bool { return !s.Ready() })
		assert.Check(t, unready > 800*time.Millisecond && unready <= 1200*time.Millisecond+2*sampling, "%s", unready)
		time.Sleep(time.Second)
		f.store.SetOutcomes(nil)
		ended := f.until(func(s *Server) bool { return !s.policy.Failing() && s.Ready() })
		assert.Check(t, ended <= 200*time.Millisecond+sampling, "%s", ended)
		time.Sleep(unsteadyPeriod / 2)
		assert.Check(t, f.oldestProof(false) <= 400*time.Millisecond, "after a failure each call is a read")
	})
}

// Guards against a ping that hides that reads fail.
func TestFailingReadsAreNoticedThoughPingsSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, countedInstances)
		f.store.SetOutcomes(func(operation string) fake.CallOutcome {
			if operation == "range" {
				return fake.Down
			}
			return fake.Delivered
		})
		noticed := f.until(func(s *Server) bool { return s.policy.Failing() })
		assert.Check(t, noticed <= 1200*time.Millisecond+sampling, "%s", noticed)
		for range 1000 {
			time.Sleep(time.Millisecond)
			for _, s := range f.instances {
				assert.Assert(t, s.policy.Failing())
			}
		}
	})
}

// Guards against a new owner that decides by the proof of an instance among many.
func TestNewOwnerReadsTheConfigurationAtOnce(t *testing.T) {
	for after := time.Duration(0); after < 1200*time.Millisecond; after += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := settled(t, countedInstances)
			time.Sleep(after)
			earlier := f.owner(nil)
			key, err := f.store.Transactor.Item(t.Context(), work.OwnerKey)
			assert.NilError(t, err)
			f.store.ExpireLease(key.Lease)
			next := f.owner(earlier)
			owned := time.Now()
			time.Sleep(10 * time.Millisecond)
			_, confirmedAt := next.policy.Current()
			assert.Check(t, owned.Sub(confirmedAt) <= time.Millisecond, "after %s: %s", after, owned.Sub(confirmedAt))
		})
	}
}

// owner waits until an instance other than the given one is the owner.
func (f *countedFleet) owner(except *Server) *Server {
	for {
		for _, s := range f.instances {
			if s != except && s.elector.Owns() {
				return s
			}
		}
		time.Sleep(time.Millisecond)
	}
}
