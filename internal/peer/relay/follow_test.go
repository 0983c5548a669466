package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

// watchedStore counts reads and watches of the list; while silent is true, watches return nothing.
type watchedStore struct {
	*fake.Transactor
	calls  atomic.Int64
	silent atomic.Bool
}

func (s *watchedStore) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	s.calls.Add(1)
	return s.Transactor.Range(ctx, prefix)
}

func (s *watchedStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	s.calls.Add(1)
	changes, upTo, err := s.Transactor.Changes(ctx, prefix, after, wait)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, after, &store.LostError{Cause: ctx.Err().Error()}
	}
	return changes, upTo, err
}

// followers starts instances that keep their entries and lists, and returns them after a while.
func followers(t *testing.T, size int) ([]*Peers, *watchedStore) {
	t.Helper()
	kv := &watchedStore{Transactor: fake.NewTransactor()}
	ctx, cancel := context.WithCancel(t.Context())
	var parts sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		parts.Wait()
	})
	var all []*Peers
	for i := range size {
		p := &Peers{Store: kv, Self: Peer{Name: fmt.Sprintf("n%02d", i), Address: "a:1"}, Log: event.Discard()}
		all = append(all, p)
		parts.Go(func() { p.Run(ctx) })
		parts.Go(func() { p.Follow(ctx) })
	}
	time.Sleep(15 * time.Second)
	return all, kv
}

// untilKnown waits until all instances list so many others, and returns how long that took.
func untilKnown(t *testing.T, all []*Peers, others int) time.Duration {
	t.Helper()
	began := time.Now()
	for _, p := range all {
		for len(p.Others()) != others {
			assert.Assert(t, time.Since(began) < time.Minute, "%s lists %d of %d", p.Self.Name, len(p.Others()), others)
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// Guards against instances among many that learn later of others than by reading the list every two seconds, and against calls that grow.
func TestInstancesThatComeAndGoAreKnownWithinTwoSeconds(t *testing.T) {
	for size, mostCalls := range map[int]int64{3: 93, 8: 248, 41: 500} {
		synctest.Test(t, func(t *testing.T) {
			all, kv := followers(t, size)
			before := kv.calls.Load()
			time.Sleep(time.Minute)
			calls := kv.calls.Load() - before
			t.Logf("%d instances: %d calls a minute", size, calls)
			assert.Check(t, calls <= mostCalls, "%d instances: %d", size, calls)
			lease, err := kv.Grant(t.Context(), leaseTTL)
			assert.NilError(t, err)
			kv.PutWithLease(keyPrefix+"x", []byte(`{"address":"x:1"}`), lease)
			came := untilKnown(t, all, size)
			assert.Check(t, all[0].AddressOf("x") == "x:1")
			kv.ExpireLease(lease)
			went := untilKnown(t, all, size-1)
			assert.Check(t, came <= 2*time.Second && went <= 2*time.Second+time.Millisecond, "%d instances: %s, %s", size, came, went)
			assert.Check(t, all[0].Others()[0].Name == "n01", "the order is that of the names")
		})
	}
}

// Guards against a list that stays old as its watch is silent: it is read again after listWait, or soon after a call that has failed.
func TestSilentWatchOfInstancesIsFoundOut(t *testing.T) {
	for _, c := range []struct {
		failing bool
		within  time.Duration
	}{{false, listWait + refreshTimeout + refreshEvery}, {true, 2*refreshEvery + refreshTimeout}} {
		synctest.Test(t, func(t *testing.T) {
			all, kv := followers(t, 41)
			kv.silent.Store(true)
			kv.Put(keyPrefix+"x", []byte(`{"address":"x:1"}`))
			if c.failing {
				kv.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
				for _, p := range all {
					assert.Check(t, p.Ping(t.Context()) != nil)
				}
				kv.SetOutcomes(nil)
			}
			took := untilKnown(t, all, 41)
			t.Logf("failing %t: %s", c.failing, took)
			assert.Check(t, took <= c.within, "failing %t: %s", c.failing, took)
		})
	}
}

// Guards against a watch that returns at once, without changes or as it fails, and causes more calls than a read every two seconds and it.
func TestWatchThatEndsAtOnceIsNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, kv := followers(t, 41)
		kv.SetOutcomes(func(operation string) fake.CallOutcome {
			if operation == "changes" {
				return fake.HistoryCompacted
			}
			return fake.Delivered
		})
		time.Sleep(20 * time.Second)
		before := kv.calls.Load()
		time.Sleep(time.Minute)
		assert.Check(t, kv.calls.Load()-before <= 41*2*31, "%d", kv.calls.Load()-before)
	})
}
