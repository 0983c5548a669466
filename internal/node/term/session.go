package term

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/group"
)

const (
	// busyPollWait is how long a worker with tasks may delay its answer to a poll until a task exits: leases must be renewed
	// at intervals much shorter than the lease, and each poll is a cost to the users.
	busyPollWait = 800 * time.Millisecond
	// idlePollWait is the same for a worker without tasks.
	idlePollWait = 1500 * time.Millisecond
	// answerTimeout is how long an answer may take beyond the requested wait.
	answerTimeout = 500 * time.Millisecond
	// drainingLease is the lease of tasks on a draining worker: it is short so that they start elsewhere soon after the
	// worker has gone.
	drainingLease = 2500 * time.Millisecond
	// silentAfter is how long a worker is silent before its lease is no longer renewed, so that the lease certainly expires.
	silentAfter = 1200 * time.Millisecond
	// pollRetryDelay is the delay after a failed poll; it grows with each failure up to maxPollRetryDelay. Workers that come
	// back have seconds of their leases left.
	pollRetryDelay    = 100 * time.Millisecond
	maxPollRetryDelay = 400 * time.Millisecond
	// maxCommitWait is how long a session waits for exits to become durable before it polls again. A worker answers at once
	// while it has exits to list, so polls every few milliseconds would only delay the owner's commits.
	maxCommitWait = 300 * time.Millisecond
	// maxAckDelay is how long after an answer was applied a poll may acknowledge exits: no worker crashes, comes back under its
	// ID and runs a task to its end in that time.
	maxAckDelay = 50 * time.Millisecond
)

// session polls one worker and keeps the state of the exchange with it.
type session struct {
	term *term
	id   string
	// orderSlots has an entry for each order in flight.
	orderSlots chan struct{}

	mu sync.Mutex
	// clock is the last reading of the worker's own clock, appliedAt when the last answer was applied.
	clock     clockReading
	appliedAt time.Time
	silent    bool
	// missedPolls counts the polls since the last answer.
	missedPolls int
	seenAt      time.Time
	ackChanged  chan struct{}
}

// clockReading is a reading of the clock of one incarnation of a worker, in the answer that came at the given time; that is
// zero while it is not known which incarnation is up.
type clockReading struct {
	incarnation int64
	reading     time.Duration
	at          time.Time
}

// openSessions starts a session with each worker that has an address and no session.
func (t *term) openSessions(ctx context.Context) {
	t.state.Lock()
	defer t.state.Unlock()
	for _, w := range t.engine.Workers() {
		if t.sessions[w.ID] != nil || w.Address == "" {
			continue
		}
		s := &session{term: t, id: w.ID, orderSlots: make(chan struct{}, maxOrdersPerWorker), seenAt: t.Now(), ackChanged: make(chan struct{}, 1)}
		t.sessions[w.ID] = s
		t.components.Go("session", func() { s.run(ctx) })
	}
}

// countSilent counts the listed workers with a session, and those among them that have not answered for cutOffAfter plus the
// longest wait of a poll. The caller holds t.state.
func (t *term) countSilent(now time.Time) (silent, all int) {
	for _, w := range t.engine.Workers() {
		s := t.sessions[w.ID]
		if s == nil || !w.Listed {
			continue
		}
		all++
		if now.Sub(s.lastSeen()) > cutOffAfter+idlePollWait {
			silent++
		}
	}
	return silent, all
}

// wake ends the wait for exits to become durable.
func (s *session) wake() {
	select {
	case s.ackChanged <- struct{}{}:
	default:
	}
}

// acknowledgeable returns the number of the last exit that the worker may forget. It is zero while the worker's incarnation
// is not known, and if the worker may have restarted since its last answer. The caller holds t.state.
func (s *session) acknowledgeable(w *group.Worker, now time.Time) int64 {
	if !s.knows(w.Incarnation) || !s.answeredWithin(maxAckDelay, now) {
		return 0
	}
	return w.DurableExit()
}

func (s *session) lastSeen() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seenAt
}

// deadline returns the end of a lease of the given length on the clock of the worker's incarnation, or false while that clock
// is not known.
//
// The clock was read before the answer came, and counts as read when it came, so the deadline is never later than intended.
func (s *session) deadline(incarnation int64, now time.Time, lease time.Duration) (time.Duration, bool) {
	if !s.knows(incarnation) {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.reading + now.Sub(s.clock.at) + lease, true
}

// knows reports whether the last answer came from the incarnation and no poll has failed since.
func (s *session) knows(incarnation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.clock.at.IsZero() && s.clock.incarnation == incarnation
}

func (s *session) setClock(clock clockReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = clock
}

// run polls the worker until the term ends or the worker needs no session.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.poll(ctx) {
			return
		}
	}
}

// poll polls the worker once and renews its lease; it closes the session and reports false if the worker is neither listed
// nor busy.
func (s *session) poll(ctx context.Context) bool {
	s.awaitGrant(ctx)
	t := s.term
	now := t.Now()
	t.state.Lock()
	w := t.engine.Worker(s.id)
	if w == nil || !w.Listed && !w.Busy() {
		delete(t.sessions, s.id)
		t.state.Unlock()
		return false
	}
	to := targetOf(w)
	busy, processed, known := w.Busy(), w.LastExit, s.knows(w.Incarnation)
	extend := busy && t.mayGrant(s.id) && now.Before(t.validUntil.Add(extendPastLapse)) && now.Sub(s.lastSeen()) < silentAfter
	request := agent.Poll{Token: t.token, Acknowledged: s.acknowledgeable(w, now), Wait: idlePollWait}
	if extend {
		lease := t.leaseDuration()
		if w.Draining {
			lease = min(lease, drainingLease)
		}
		if deadline, ok := s.deadline(w.Incarnation, now, lease); ok {
			request.Deadline = deadline
			t.engine.LeaseRenewed(s.id, now.Add(worstCaseLease(lease)))
		}
	}
	t.state.Unlock()
	if known && processed > request.Acknowledged {
		s.waitForCommit(ctx)
		now = t.Now()
		t.state.Lock()
		request.Acknowledged = s.acknowledgeable(w, now)
		t.state.Unlock()
	}
	switch {
	case !known || processed > request.Acknowledged:
		request.Wait = 0
	case busy:
		request.Wait = busyPollWait
	}
	s.sendPoll(ctx, to, request)
	return true
}

// suspect marks all workers of the data centre as suspect after a worker there left an order unanswered, and polls them.
func (t *term) suspect(ctx context.Context, id string) {
	t.state.Lock()
	defer t.state.Unlock()
	for _, other := range t.engine.SuspectDataCentre(id, t.Now()) {
		if s, w := t.sessions[other], t.engine.Worker(other); s != nil {
			to := targetOf(w)
			request := agent.Poll{Token: t.token, Acknowledged: s.acknowledgeable(w, t.Now())}
			t.components.Go("session", func() { s.sendPoll(ctx, to, request) })
		}
	}
}

func (s *session) waitForCommit(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.ackChanged:
	case <-time.After(maxCommitWait):
	}
}

func (s *session) sendPoll(ctx context.Context, to agent.Target, request agent.Poll) {
	t := s.term
	sent := t.Now()
	call, done := context.WithTimeout(ctx, request.Wait+answerTimeout)
	answer, err := t.Agent.Poll(call, to, request)
	done()
	t.Meter.Count("worker.looks")
	now := t.Now()
	if err != nil {
		t.checkReplaced(to, err, sent)
		s.pollFailed(ctx, err, request.Wait, sent, now)
		return
	}
	s.mu.Lock()
	recovered := s.silent
	s.seenAt, s.silent, s.missedPolls = now, false, 0
	s.mu.Unlock()
	if recovered {
		t.Log.Emit(event.WorkerAnswers, event.Fields{"worker": s.id, "born": answer.Incarnation})
	}
	t.state.Lock()
	t.engine.ApplyListing(s.id, answer.Listing, sent, now)
	if w := t.engine.Worker(s.id); w != nil && (answer.Incarnation == w.Incarnation || answer.Incarnation == 0) {
		s.setClock(clockReading{incarnation: w.Incarnation, reading: answer.Clock, at: now})
	}
	t.state.Unlock()
	s.applied(t.Now())
	if recovered || len(answer.Exits) > 0 || request.Wait == 0 {
		t.notify()
	}
}

// applied records when the last answer was applied.
func (s *session) applied(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appliedAt = now
}

// answeredWithin reports whether the last answer was applied at most that long ago.
func (s *session) answeredWithin(limit time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.appliedAt) <= limit
}

// checkReplaced ends the runs on the target of a call that was sent at sentAt if the call reached another worker at its address:
// two workers can't serve one address, so the target has ended, and its tasks with it.
func (t *term) checkReplaced(to agent.Target, err error, sentAt time.Time) {
	var refused *agent.RefusedError
	if !errors.As(err, &refused) || refused.Refusal != agent.Restarted {
		return
	}
	t.state.Lock()
	defer t.state.Unlock()
	if w := t.engine.Worker(to.Worker); w != nil && targetOf(w) == to && t.engine.WorkerReplaced(to.Worker, sentAt, t.Now()) {
		t.notify()
	}
}

// pollFailed records that a poll that was sent at sentAt and allowed the worker to wait had no answer, and waits before the
// next one.
func (s *session) pollFailed(ctx context.Context, err error, allowed time.Duration, sentAt, now time.Time) {
	t := s.term
	var refused *agent.RefusedError
	if errors.As(err, &refused) && refused.Refusal == agent.OldToken {
		t.end(&fencedError{by: "by worker " + s.id})
		return
	}
	s.mu.Lock()
	s.missedPolls++
	// The worker may have restarted; its next answer shows which incarnation it is.
	if !s.clock.at.After(sentAt) {
		s.clock = clockReading{}
	}
	wait := min(time.Duration(s.missedPolls)*pollRetryDelay, maxPollRetryDelay)
	becameSilent := !s.silent && now.Sub(s.seenAt) > silentAfter
	if becameSilent {
		s.silent = true
	}
	s.mu.Unlock()
	t.state.Lock()
	silence := now.Sub(sentAt)
	if silence < allowed {
		// The worker could still have waited, so the connection broke.
		silence = 0
	}
	t.engine.PollFailed(s.id, sentAt, silence, now)
	t.state.Unlock()
	if becameSilent && ctx.Err() == nil {
		t.Log.Emit(event.WorkerSilent, event.Fields{"worker": s.id, "error": err.Error()})
	}
	pause.For(ctx, wait)
}
