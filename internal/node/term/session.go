package term

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
)

const (
	// busyWait is how long a worker with tasks may wait for an end: renewals must be much closer than the lease is long, and
	// the users price each look.
	busyWait = 800 * time.Millisecond
	// idleWait is the same for a worker that has nothing to do.
	idleWait = 1500 * time.Millisecond
	// answerTimeout is how long an answer may take beyond the wait that was asked for.
	answerTimeout = 500 * time.Millisecond
	// leavingLease is the lease of what runs on a worker that leaves: once it is gone, its tasks start elsewhere the sooner.
	leavingLease = 2500 * time.Millisecond
	// silentAfter is how long a worker is silent before its lease is no longer renewed, so that it ends for certain.
	silentAfter = 1200 * time.Millisecond
	// lookPause is the wait after a failed look, lookPauseMost that after several: workers that come back have seconds of their
	// leases left.
	lookPause     = 100 * time.Millisecond
	lookPauseMost = 400 * time.Millisecond
	// commitPause is how long a session waits for ends to be recorded before it looks again: a worker answers at once while
	// it has ends to list, so a look each few milliseconds would only keep the owner from recording them.
	commitPause = 300 * time.Millisecond
)

// session is the owner's exchange with one worker.
type session struct {
	term *term
	id   string
	// orders has an entry for each order on its way.
	orders chan struct{}

	mu sync.Mutex
	// clock is the worker's own clock as it was when clockAt had come.
	clock   time.Duration
	clockAt time.Time
	acked   int64
	silent  bool
	// misses counts the looks since the last answer.
	misses int
	heard  time.Time
	born   int64
	wake   chan struct{}
}

// openSessions starts a session with each worker that has none.
func (t *term) openSessions(ctx context.Context) {
	t.state.Lock()
	defer t.state.Unlock()
	for _, w := range t.engine.Workers() {
		if t.sessions[w.ID] != nil || w.Address == "" {
			continue
		}
		s := &session{term: t, id: w.ID, orders: make(chan struct{}, ordersMost), heard: t.Now(), acked: w.Settled(), wake: make(chan struct{}, 1)}
		t.sessions[w.ID] = s
		t.parts.Go("session", func() { s.run(ctx) })
	}
}

// silent counts the listed workers that have not answered for a while. The caller holds the state.
func (t *term) silent(now time.Time) (silent, all int) {
	for _, w := range t.engine.Workers() {
		s := t.sessions[w.ID]
		if s == nil || !w.Present {
			continue
		}
		all++
		if now.Sub(s.lastHeard()) > cutOffAfter+idleWait {
			silent++
		}
	}
	return silent, all
}

func (s *session) acknowledge(number int64) {
	s.mu.Lock()
	s.acked = max(s.acked, number)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) acknowledged() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

func (s *session) lastHeard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

// deadline returns the end of a lease of the given length on the worker's clock, or false while that clock is not known.
//
// The clock is taken as it was when the answer came, so the deadline is never later than meant.
func (s *session) deadline(now time.Time, lease time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockAt.IsZero() {
		return 0, false
	}
	return s.clock + now.Sub(s.clockAt) + lease, true
}

// run looks after the worker until the term ends or the worker is gone.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.look(ctx) {
			return
		}
	}
}

// look makes one call; it reports false once the worker needs no session any more.
func (s *session) look(ctx context.Context) bool {
	t := s.term
	now := t.Now()
	t.state.Lock()
	w := t.engine.Worker(s.id)
	if w == nil || !w.Present && !w.Busy() {
		delete(t.sessions, s.id)
		t.state.Unlock()
		return false
	}
	to := agent.Target{Worker: w.ID, Address: w.Address}
	busy, processed := w.Busy(), w.Processed
	s.setBorn(w.Born)
	extend := busy && now.Before(t.validUntil.Add(holdPast)) && now.Sub(s.lastHeard()) < silentAfter
	look := agent.Look{Token: t.token, Acknowledged: s.acknowledged(), Wait: idleWait}
	if extend {
		lease := t.Bounds.MaxHold
		if w.Draining {
			lease = min(lease, leavingLease)
		}
		if deadline, ok := s.deadline(now, lease); ok {
			look.Deadline = deadline
			t.engine.Renewed(s.id, now.Add(stretch(lease)))
		}
	}
	t.state.Unlock()
	if processed > look.Acknowledged {
		s.waitForCommit(ctx)
		look.Acknowledged = s.acknowledged()
	}
	switch {
	case s.unknownClock() || processed > look.Acknowledged:
		look.Wait = 0
	case busy:
		look.Wait = busyWait
	}
	s.call(ctx, to, look)
	return true
}

// doubt looks at all workers of the data centre of a worker that left an order without an answer.
func (t *term) doubt(ctx context.Context, id string) {
	t.state.Lock()
	defer t.state.Unlock()
	for _, other := range t.engine.Doubt(id, t.Now()) {
		if s, w := t.sessions[other], t.engine.Worker(other); s != nil {
			to := agent.Target{Worker: w.ID, Address: w.Address}
			look := agent.Look{Token: t.token, Acknowledged: s.acknowledged()}
			t.parts.Go("session", func() { s.call(ctx, to, look) })
		}
	}
}

func (s *session) unknownClock() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clockAt.IsZero()
}

// setBorn starts the count of ends afresh in a new life of the worker.
func (s *session) setBorn(born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.born != 0 && born != s.born {
		s.acked, s.clockAt = 0, time.Time{}
	}
	s.born = born
}

func (s *session) waitForCommit(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-time.After(commitPause):
	}
}

func (s *session) call(ctx context.Context, to agent.Target, look agent.Look) {
	t := s.term
	sent := t.Now()
	call, done := context.WithTimeout(ctx, look.Wait+answerTimeout)
	answer, err := t.Agent.Look(call, to, look)
	done()
	t.Meter.Count("worker.looks")
	now := t.Now()
	if err != nil {
		s.failed(ctx, err, now)
		return
	}
	s.mu.Lock()
	back := s.silent
	s.clock, s.clockAt, s.heard, s.silent, s.misses = answer.Clock, now, now, false, 0
	s.mu.Unlock()
	if back {
		t.Log.Emit(event.WorkerAnswers, event.Fields{"worker": s.id, "born": answer.Born})
	}
	t.state.Lock()
	t.engine.Listed(s.id, answer.Listing, sent, now)
	t.state.Unlock()
	if back || len(answer.Finished) > 0 || look.Wait == 0 {
		t.wake()
	}
}

func (s *session) failed(ctx context.Context, err error, now time.Time) {
	t := s.term
	var refused *agent.RefusedError
	if errors.As(err, &refused) && refused.Refusal == agent.OldToken {
		t.end(&fencedError{by: "by worker " + s.id})
		return
	}
	s.mu.Lock()
	s.misses++
	wait := min(time.Duration(s.misses)*lookPause, lookPauseMost)
	first := !s.silent && now.Sub(s.heard) > silentAfter
	if first {
		s.silent = true
	}
	s.mu.Unlock()
	if first && ctx.Err() == nil {
		t.Log.Emit(event.WorkerSilent, event.Fields{"worker": s.id, "error": err.Error()})
	}
	pause.For(ctx, wait)
}
