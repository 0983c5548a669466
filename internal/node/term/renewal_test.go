package term

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

// lossyStore is a store whose lease lapses leaseTTL after the last renewal that arrived; answers holds the delay of the answer to
// each renewal in turn, a negative one for an answer that is lost.
type lossyStore struct {
	store.Transactor
	answers func(call int) time.Duration

	mu       sync.Mutex
	calls    int
	lapsesAt time.Time
}

// extend extends the lease and returns the delay of the answer, or false if the lease has lapsed.
func (s *lossyStore) extend(now time.Time) (delay time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.lapsesAt) {
		return 0, false
	}
	s.lapsesAt = now.Add(leaseTTL)
	delay = s.answers(s.calls)
	s.calls++
	return delay, true
}

func (s *lossyStore) Renew(ctx context.Context, lease int64) error {
	delay, ok := s.extend(time.Now())
	if !ok {
		return &store.LapsedError{Lease: lease}
	}
	if delay < 0 {
		delay = time.Hour
	}
	select {
	case <-ctx.Done():
		return &store.LostError{Cause: ctx.Err().Error()}
	case <-time.After(delay):
		return nil
	}
}

// renewFor renews the lease of a term for ten seconds, and returns the cause of the term's end and how often it was not certain of its
// lease, of 100 looks.
func renewFor(t *testing.T, answers func(call int) time.Duration) (uncertain int, cause error) {
	t.Helper()
	kv := &lossyStore{answers: answers, lapsesAt: time.Now().Add(leaseTTL)}
	tm := newTerm(&Elector{Store: kv, Log: event.Discard(), Now: time.Now}, 1, 7, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	tm.cancel = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		tm.renewLease(ctx)
	}()
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		tm.state.Lock()
		if !tm.leaseValid(time.Now()) {
			uncertain++
		}
		cause = tm.cause
		tm.state.Unlock()
	}
	cancel()
	<-done
	tm.components.Wait()
	return uncertain, cause
}

// Guards against owners that are replaced every two seconds, as a single lost answer to a renewal ends a term (issue 48, LOST).
func TestLostAnswersOfRenewalsEndNoTerm(t *testing.T) {
	for name, lost := range map[string]func(call int) bool{
		"one":           func(call int) bool { return call == 3 },
		"each other":    func(call int) bool { return call%2 == 1 },
		"three of four": func(call int) bool { return call%4 != 0 },
	} {
		synctest.Test(t, func(t *testing.T) {
			uncertain, cause := renewFor(t, func(call int) time.Duration {
				if lost(call) {
					return -1
				}
				return 4 * time.Millisecond
			})
			assert.NilError(t, cause, name)
			assert.Equal(t, uncertain, 0, name)
		})
	}
}

// Guards against renewals that are too far apart while the store is slow.
func TestSlowAnswersOfRenewalsEndNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		uncertain, cause := renewFor(t, func(int) time.Duration { return 700 * time.Millisecond })
		assert.NilError(t, cause)
		assert.Equal(t, uncertain, 0)
	})
}

// Guards against a flood of renewals: each is a call that the users pay for.
func TestRenewalsAreNoMoreFrequentWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		_, _ = renewFor(t, func(call int) time.Duration {
			calls = call + 1
			return 4 * time.Millisecond
		})
		assert.Assert(t, calls <= int(10*time.Second/renewInterval), "%d calls", calls)
	})
}
