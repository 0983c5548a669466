package owner

import (
	"errors"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
)

// pollWorkers polls every worker that is due and marks those lost whose lease has expired without an answer.
func (o *Owner) pollWorkers(t *term, now time.Time) {
	t.dropUnconfigured()
	for _, s := range t.sessions {
		if !s.lost && o.leaseExpired(s, now) {
			o.workerLost(t, s, now)
		}
		if o.letsLeaseExpire(s, now) {
			continue
		}
		if s.busy || (!s.hasOrders() && now.Sub(s.lastPoll) < o.cfg.PollInterval) {
			continue
		}
		if s.hasOrders() && now.Sub(s.lastPoll) < stepInterval {
			continue
		}
		o.poll(t, s, now)
	}
}

// letsLeaseExpire reports whether the worker has been silent for so long that no call may renew its lease any more, as its tasks
// could otherwise never count as lost.
func (o *Owner) letsLeaseExpire(s *session, now time.Time) bool {
	return !s.lost && now.Sub(s.lastSeen) > o.cfg.WorkerLease/2
}

// leaseExpired reports whether the worker's lease has certainly expired, also if calls without a response have renewed it.
func (o *Owner) leaseExpired(s *session, now time.Time) bool {
	renewedAt := s.lastSeen
	if s.lastCall.After(renewedAt) {
		renewedAt = s.lastCall
	}
	return now.Sub(renewedAt) > o.cfg.WorkerLease+workerLostMargin
}

// poll calls the worker in the background with all its pending orders.
func (o *Owner) poll(t *term, s *session, now time.Time) {
	request := worker.Request{Worker: s.name, Stop: s.pendingStops, Ack: s.pendingAcks, OmitSpecs: t.workersKnown}
	s.busy, s.lastPoll = true, now
	s.pendingStops, s.pendingAcks = nil, nil
	o.spawn(func() {
		response, err := o.call(t, request)
		o.mu.Lock()
		defer o.mu.Unlock()
		s.busy = false
		if err != nil {
			o.requeueOrders(t, s, request, err)
			return
		}
		o.pollAnswered(t, s, response, now)
	})
}

// requeueOrders keeps the orders of a failed call for the next one, and ends the term if a newer epoch exists.
func (o *Owner) requeueOrders(t *term, s *session, request worker.Request, err error) {
	s.pendingStops = append(request.Stop, s.pendingStops...)
	s.pendingAcks = append(request.Ack, s.pendingAcks...)
	var stale *worker.StaleError
	if errors.As(err, &stale) && o.term == t && stale.Epoch > t.epoch {
		o.cfg.Log.Emit(event.OwnerLost, event.Fields{"dataCentre": o.cfg.Centre, "epoch": t.epoch, "error": err.Error()})
		o.term = nil
	}
}

// applyResponse applies a response that came outside the polls.
func (o *Owner) applyResponse(t *term, name string, response worker.Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := t.byName[name]; s != nil {
		o.applyStatuses(t, s, response)
		s.lastSeen = o.cfg.Now()
	}
}

// pollAnswered applies the response to a poll; sent is when the poll was sent, as the response may lack tasks started later.
func (o *Owner) pollAnswered(t *term, s *session, response worker.Response, sent time.Time) {
	now := o.cfg.Now()
	if now.After(s.lastSeen) {
		s.lastSeen = now
	}
	if s.lost {
		s.lost = false
		if s.index != unconfigured {
			t.engine.WorkerBack(s.index)
		}
		t.pendingDecision = true
		o.cfg.Log.Emit(event.WorkerBack, event.Fields{"worker": s.name})
	}
	o.applyStatuses(t, s, response)
	o.markMissing(t, s, response, sent)
	for _, g := range t.gangs {
		if g.usesWorker(s.name) {
			o.advance(t, g, now)
		}
	}
}

// applyStatuses updates the members that the worker reports.
func (o *Owner) applyStatuses(t *term, s *session, response worker.Response) {
	for _, status := range response.Tasks {
		g := t.gangs[status.Job]
		if g == nil || g.attempt != status.Attempt || status.Member >= len(g.workers) || g.workers[status.Member] != s.name {
			if !t.workersKnown {
				t.earlyReports = append(t.earlyReports, earlyReport{session: s, status: status})
				continue
			}
			t.endOrphan(s, status)
			continue
		}
		m := &g.members[status.Member]
		if m.lost {
			continue
		}
		m.reported, m.phase, m.progress, m.result = true, status.Phase, status.Progress.Duration, status.Result
		m.neverRan = status.Phase == worker.Stopped && status.Started.IsZero()
	}
}

// endOrphan stops a task that belongs to no gang of this term, or acknowledges it if it has ended and that is recorded.
func (t *term) endOrphan(s *session, status worker.Status) {
	if status.Phase.Ended() {
		if t.recording(status.TaskID) {
			return
		}
		s.pendingAcks = append(s.pendingAcks, status.TaskID)
		return
	}
	s.pendingStops = append(s.pendingStops, worker.StopOrder{TaskID: status.TaskID})
}

// markMissing marks the members as lost that the worker no longer holds.
func (o *Owner) markMissing(t *term, s *session, response worker.Response, sent time.Time) {
	held := make(map[worker.TaskID]bool, len(response.Tasks))
	for _, status := range response.Tasks {
		held[status.TaskID] = true
	}
	for _, g := range t.gangs {
		if g.stage == starting || g.stage == recording || !g.stageSince.Before(sent) {
			continue
		}
		for i, name := range g.workers {
			if name == s.name && !held[g.id(i)] {
				g.members[i].lost = true
			}
		}
	}
}

// workerLost handles a silent worker: its leases have expired, so nothing runs there.
func (o *Owner) workerLost(t *term, s *session, now time.Time) {
	s.lost = true
	t.pendingDecision = true
	o.cfg.Log.Emit(event.WorkerLost, event.Fields{"worker": s.name})
	if s.index != unconfigured {
		t.engine.WorkerDown(s.index, now)
	}
	for _, g := range t.gangs {
		if g.stage == recording || !g.usesWorker(s.name) {
			continue
		}
		for i, name := range g.workers {
			if name == s.name {
				g.members[i].lost = true
			}
		}
		if g.stage != starting {
			o.advance(t, g, now)
		}
	}
}

func (g *gang) usesWorker(name string) bool {
	for _, w := range g.workers {
		if w == name {
			return true
		}
	}
	return false
}
