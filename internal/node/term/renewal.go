package term

import (
	"context"
	"errors"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

// renewLease renews the owner's lease until the term ends. Renewals overlap, as the answer to one may be lost, or late.
func (t *term) renewLease(ctx context.Context) {
	sent := t.startedAt
	for pause.For(ctx, renewInterval/2) {
		if now := t.Now(); t.renewalDue(sent, now) {
			sent = now
			t.components.Go("renewal", func() { t.renewOnce(ctx, now) })
		}
	}
}

// renewalDue reports whether to renew the lease although the last renewal was sent at sent: it may have no answer, or be too old.
func (t *term) renewalDue(sent, now time.Time) bool {
	t.state.Lock()
	defer t.state.Unlock()
	return t.renewalsInFlight > 0 || now.Sub(sent) >= renewInterval
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
