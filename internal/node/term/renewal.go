package term

import (
	"context"
	"errors"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

// renewLease renews the owner's lease until the term ends: at intervals of renewInterval, or half of it while a renewal has no answer.
// Renewals overlap, as the answer to one may be lost, or late.
func (t *term) renewLease(ctx context.Context) {
	for tick := 1; pause.For(ctx, renewInterval/2); tick++ {
		if tick%2 == 0 || t.renewalUnanswered() {
			sent := t.Now()
			t.components.Go("renewal", func() { t.renewOnce(ctx, sent) })
		}
	}
}

// renewalUnanswered reports whether a renewal has no answer yet.
func (t *term) renewalUnanswered() bool {
	t.state.Lock()
	defer t.state.Unlock()
	return t.renewalsInFlight > 0
}

// renewOnce renews the lease as of sent, and ends the term if the lease has lapsed.
func (t *term) renewOnce(ctx context.Context, sent time.Time) {
	t.state.Lock()
	t.renewalsInFlight++
	t.state.Unlock()
	call, done := context.WithTimeout(ctx, storeTimeout)
	err := t.Store.Renew(call, t.lease)
	done()
	t.state.Lock()
	t.renewalsInFlight--
	if until := sent.Add(leaseTTL - leaseMargin); err == nil && until.After(t.validUntil) {
		t.validUntil = until
	}
	t.state.Unlock()
	var lapsed *store.LapsedError
	switch {
	case err == nil:
		if t.shouldHandOver(t.startedAt, sent) {
			t.end(largerPeerError{})
		}
	case errors.As(err, &lapsed):
		t.end(err)
	case ctx.Err() == nil:
		t.Log.Emit(event.StoreLost, event.Fields{"call": "renew", "error": err.Error()})
	}
}
