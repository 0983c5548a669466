package term

import (
	"context"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/peer/probe"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// staleAfter is how long nothing may start, as the configuration or the list of workers is too old, or cancels are unknown, before
	// the owner asks other instances whether they can read.
	staleAfter = 1500 * time.Millisecond
	// staleAlone is after how long the owner resigns if none of the other instances answers.
	staleAlone = 6 * time.Second
	// probeInterval is the time between two questions, probeTimeout limits a question, and probeReadTimeout the reads that it causes.
	probeInterval    = 500 * time.Millisecond
	probeTimeout     = 600 * time.Millisecond
	probeReadTimeout = 500 * time.Millisecond
)

// Readers gives access to the other instances, which may be able to read what this one can't.
type Readers interface {
	// Ask asks some of them to read the configuration and the list of workers; ctx must have a deadline.
	Ask(ctx context.Context, request *probe.Request) probe.Result
}

// staleError means that nothing could start, as this owner could not read the configuration or the list of workers, or that it could
// not learn of cancels.
type staleError struct{ policyAge, listAge, cancelAge time.Duration }

// Error names the ages.
func (e *staleError) Error() string {
	return fmt.Sprintf("out of date: the configuration was confirmed %s ago, the list of workers %s ago, cancels are known as of %s ago", e.policyAge, e.listAge, e.cancelAge)
}

// Probe reads the configuration and the list of workers for an owner that can't.
func (e *Elector) Probe(ctx context.Context, _ *probe.Request) (*probe.Reply, error) {
	call, done := context.WithTimeout(store.From(ctx, store.Probe), probeReadTimeout)
	defer done()
	if err := e.Policy.Refresh(call); err != nil {
		return &probe.Reply{Error: err.Error()}, nil
	}
	if _, err := e.Lister.Workers(call); err != nil {
		return &probe.Reply{Error: err.Error()}, nil
	}
	return &probe.Reply{Able: true}, nil
}

// watchStaleness ends the term once nothing may start for long although the lease is renewed, if another instance may do better.
// Until then, and while no instance can read, the owner goes on renewing the workers' leases.
func (t *term) watchStaleness(ctx context.Context) {
	var since time.Time
	for pause.For(ctx, tickInterval) {
		now := t.Now()
		cause := t.staleness(now)
		if cause == nil {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = now
		}
		if now.Sub(since) < staleAfter {
			continue
		}
		if t.othersMayRead(ctx, now.Sub(since)) {
			if cause = t.staleness(t.Now()); cause != nil {
				t.end(cause)
			}
			continue
		}
		pause.For(ctx, probeInterval)
	}
}

// othersMayRead reports whether an instance that can read may take over, after nothing could start for the time.
func (t *term) othersMayRead(ctx context.Context, stale time.Duration) bool {
	if t.Readers == nil {
		return false
	}
	call, done := context.WithTimeout(ctx, probeTimeout)
	defer done()
	result := t.Readers.Ask(call, &probe.Request{Token: t.token})
	return result.Able > 0 || result.Asked > 0 && result.Answered == 0 && stale >= staleAlone
}

// staleness returns a staleError if only the ages of configuration or list of workers forbid starts, or cancels are unknown for too
// long, else nil.
func (t *term) staleness(now time.Time) error {
	_, confirmedAt := t.Policy.Current()
	t.state.Lock()
	defer t.state.Unlock()
	if !t.leaseValid(now) || t.mayStart(now) && !t.cancelsUnknown(now) {
		return nil
	}
	return &staleError{policyAge: now.Sub(confirmedAt), listAge: now.Sub(t.listedAt), cancelAge: now.Sub(t.cancels.knownAt)}
}
