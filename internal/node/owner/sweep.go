package owner

import (
	"errors"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
)

// sweep calls every worker that is due and gives up those that were silent for longer than their lease.
func (o *Owner) sweep(t *term, now time.Time) {
	for _, s := range t.sessions {
		if !s.lost && now.Sub(s.heard) > o.cfg.Lease+leaseMargin {
			o.lose(t, s, now)
		}
		if s.busy || (!s.urgent() && now.Sub(s.sent) < o.cfg.Every) {
			continue
		}
		if s.urgent() && now.Sub(s.sent) < stepEvery {
			continue
		}
		o.send(t, s, now)
	}
}

// send makes one call to the worker in the background with all orders that wait for it.
func (o *Owner) send(t *term, s *session, now time.Time) {
	request := worker.Request{Worker: s.name, Stop: s.stops, Ack: s.acks, Brief: t.heardAll}
	s.busy, s.sent = true, now
	s.stops, s.acks = nil, nil
	o.spawn(func() {
		response, err := o.call(t, request)
		o.mu.Lock()
		defer o.mu.Unlock()
		s.busy = false
		if err != nil {
			o.unanswered(t, s, request, err)
			return
		}
		o.heard(t, s, response, now)
	})
}

// unanswered keeps the orders for the next call.
func (o *Owner) unanswered(t *term, s *session, request worker.Request, err error) {
	s.stops = append(request.Stop, s.stops...)
	s.acks = append(request.Ack, s.acks...)
	var stale *worker.StaleError
	if errors.As(err, &stale) && o.term == t && stale.Epoch > t.epoch {
		o.cfg.Log.Emit(event.OwnerLost, event.Fields{"dataCentre": o.cfg.Centre, "epoch": t.epoch, "error": err.Error()})
		o.term = nil
	}
}

// note takes in an answer that came outside the sweep.
func (o *Owner) note(t *term, name string, response worker.Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := t.byName[name]; s != nil {
		o.learn(t, s, response)
		s.heard = o.cfg.Now()
	}
}

// heard takes in a worker's answer; sent is when it was asked, so that anything started since is not missed in it.
func (o *Owner) heard(t *term, s *session, response worker.Response, sent time.Time) {
	now := o.cfg.Now()
	if now.After(s.heard) {
		s.heard = now
	}
	if s.lost {
		s.lost = false
		t.engine.WorkerBack(s.index)
		t.dirty = true
		o.cfg.Log.Emit(event.WorkerBack, event.Fields{"worker": s.name})
	}
	o.learn(t, s, response)
	o.missing(t, s, response, sent)
	for _, g := range t.gangs {
		if g.uses(s.name) {
			o.judge(t, g, now)
		}
	}
}

// learn updates the members that the worker reports.
func (o *Owner) learn(t *term, s *session, response worker.Response) {
	for _, status := range response.Tasks {
		g := t.gangs[status.Job]
		if g == nil || g.attempt != status.Attempt || status.Member >= len(g.workers) || g.workers[status.Member] != s.name {
			if !t.heardAll {
				t.found = append(t.found, found{session: s, status: status})
				continue
			}
			stray(s, status)
			continue
		}
		m := &g.members[status.Member]
		if m.gone {
			continue
		}
		m.known, m.phase, m.progress, m.result = true, status.Phase, status.Progress.Duration, status.Result
		m.neverRan = status.Phase == worker.Stopped && status.Started.IsZero()
	}
}

// stray ends a task that belongs to no gang of this term.
func stray(s *session, status worker.Status) {
	if status.Phase.Over() {
		s.acks = append(s.acks, status.TaskID)
		return
	}
	s.stops = append(s.stops, worker.StopOrder{TaskID: status.TaskID})
}

// missing marks members gone that the worker no longer holds.
func (o *Owner) missing(t *term, s *session, response worker.Response, sent time.Time) {
	held := make(map[worker.TaskID]bool, len(response.Tasks))
	for _, status := range response.Tasks {
		held[status.TaskID] = true
	}
	for _, g := range t.gangs {
		if g.stage == starting || g.stage == recording || !g.began.Before(sent) {
			continue
		}
		for i, name := range g.workers {
			if name == s.name && !held[g.id(i)] {
				g.members[i].gone = true
			}
		}
	}
}

// lose gives up a silent worker: its leases have lapsed, so nothing runs there.
func (o *Owner) lose(t *term, s *session, now time.Time) {
	s.lost = true
	t.dirty = true
	o.cfg.Log.Emit(event.WorkerLost, event.Fields{"worker": s.name})
	t.engine.WorkerDown(s.index, now)
	for _, g := range t.gangs {
		if g.stage == recording || !g.uses(s.name) {
			continue
		}
		for i, name := range g.workers {
			if name == s.name {
				g.members[i].gone = true
			}
		}
		if g.stage != starting {
			o.judge(t, g, now)
		}
	}
}

func (g *gang) uses(name string) bool {
	for _, w := range g.workers {
		if w == name {
			return true
		}
	}
	return false
}
