package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/table"
)

const (
	// recordTimeout limits one try to record a change.
	recordTimeout = 6 * time.Second
	// maxRecordRetryDelay is the maximum delay between tries.
	maxRecordRetryDelay = 5 * time.Second
)

// record stores a change in the background and retries until it succeeds or is refused; then the workers may forget the job's gangs
// that have ended. The caller holds o.mu.
func (o *Owner) record(job string, change table.Change[ledger.Record]) {
	t := o.term
	if t == nil {
		o.spawn(func() { o.persist(job, change) })
		return
	}
	ended := slices.Clone(t.unrecorded[job])
	o.spawn(func() {
		o.persist(job, change)
		if o.callCtx.Err() != nil {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		t.acknowledgeEnded(job, ended)
	})
}

// persist retries the change until it is stored or refused; it reports whether it was stored.
func (o *Owner) persist(job string, change table.Change[ledger.Record]) bool {
	pause := backoff.NewExponentialBackOff(backoff.WithInitialInterval(50*time.Millisecond),
		backoff.WithMaxInterval(maxRecordRetryDelay), backoff.WithMaxElapsedTime(0), backoff.WithRandomizationFactor(0.9))
	for {
		err := o.update(job, change)
		if err == nil {
			return true
		}
		if !temporary(err) {
			return false
		}
		o.activeCalls.Add(-1)
		again := o.cfg.Pause(o.callCtx, pause.NextBackOff())
		o.activeCalls.Add(1)
		if !again {
			return false
		}
	}
}

func (o *Owner) update(job string, change table.Change[ledger.Record]) error {
	ctx, cancel := context.WithTimeout(o.callCtx, recordTimeout)
	defer cancel()
	return o.cfg.Ledger.Update(ctx, job, change)
}

// temporary reports whether the key-value store caused the error, so that the change may be retried.
func temporary(err error) bool {
	var unavailable *store.UnavailableError
	var unknown *store.UnknownError
	var lost *store.LostError
	var budget *store.BudgetError
	return errors.As(err, &unavailable) || errors.As(err, &unknown) || errors.As(err, &lost) || errors.As(err, &budget)
}

// logClaimLost logs that another data centre or a cancellation came first.
func (o *Owner) logClaimLost(job string, err error) {
	o.cfg.Log.Emit(event.ClaimLost, event.Fields{"job": job, "why": err.Error()})
}
