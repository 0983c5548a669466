package owner

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/reason"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
)

// session is the owner's side of one worker.
type session struct {
	name  string
	index int
	heard time.Time
	sent  time.Time
	busy  bool
	lost  bool
	stops []worker.StopOrder
	acks  []worker.TaskID
}

// urgent reports whether orders wait for the worker.
func (s *session) urgent() bool { return len(s.stops) > 0 || len(s.acks) > 0 }

// term is the state of one epoch.
type term struct {
	epoch      int64
	began      time.Time
	revision   int64
	engine     *engine.Engine
	sessions   []*session
	byName     map[string]*session
	gangs      map[string]*gang
	found      []found
	generation int64
	heardAll   bool
	permitted  bool
	dirty      bool
	wake       time.Time
	// waits is the last logged reason of each waiting job.
	waits map[string]reason.Code
}

// found is a task that a worker reported before the term was ready.
type found struct {
	session *session
	status  worker.Status
}

// begin builds the state of a new epoch; the result is nil while there is no configuration yet.
func (o *Owner) begin(ctx context.Context, epoch int64, now time.Time) (*term, error) {
	inForce := o.cfg.Conf.InForce()
	if inForce.Document == nil {
		return nil, nil
	}
	if err := o.cfg.Ledger.Load(ctx); err != nil {
		return nil, nil //nolint:nilerr // the store's state is logged by its watcher; the next step tries again
	}
	e, err := inForce.Document.ForCentre(o.cfg.Centre, o.cfg.Policy)
	if err != nil {
		return nil, err
	}
	t := &term{epoch: epoch, began: now, engine: e, revision: inForce.Document.Revision, generation: -1, gangs: make(map[string]*gang)}
	t.engine.SetPermit(0, false)
	t.setSessions(now)
	t.applyDrain(inForce.Document, o.cfg.Centre, now)
	o.cfg.Ledger.Each(func(r ledger.Record) { t.recall(r, o.cfg.Centre) })
	return t, nil
}

// setSessions makes a session for each worker of the engine, keeping those that exist.
func (t *term) setSessions(now time.Time) {
	before := t.byName
	t.sessions, t.byName = nil, make(map[string]*session)
	for i := range t.engine.Fleet.Workers {
		name := t.engine.Fleet.Workers[i].Name
		s := before[name]
		if s == nil {
			s = &session{name: name, heard: now}
		}
		s.index = i
		t.sessions = append(t.sessions, s)
		t.byName[name] = s
	}
}

// recall puts a job that the ledger says is running here back under the engine; the workers will tell what is true.
func (t *term) recall(r ledger.Record, centre string) {
	if !r.Open() || r.DataCentre != centre {
		return
	}
	workers := make([]int, 0, len(r.Workers))
	for _, name := range r.Workers {
		if w, ok := t.engine.Fleet.Worker(name); ok {
			workers = append(workers, w)
		}
	}
	if len(workers) != r.Members {
		return
	}
	if err := t.engine.Resume(r.Spec, r.Submitted, r.Started, r.Attempt, r.Progress.Duration, workers); err != nil {
		return
	}
	g := newGang(r.Spec, r.Submitted, r.Attempt, r.Workers, running)
	g.recalled = true
	t.gangs[r.Job] = g
}

// applyDrain makes the engine's data centre drained or open as the document says.
func (t *term) applyDrain(doc *config.Document, centre string, now time.Time) {
	if drain, ok := doc.Drained(centre); ok {
		t.engine.Drain(0, drain.Deadline, now)
		return
	}
	t.engine.Reopen(0)
}

// reconfigure moves the term to the revision in force.
func (o *Owner) reconfigure(t *term, now time.Time) {
	doc := o.cfg.Conf.InForce().Document
	if doc.Revision == t.revision {
		return
	}
	next, err := doc.ForCentre(o.cfg.Centre, o.cfg.Policy)
	t.revision = doc.Revision
	if err != nil {
		o.cfg.Log.Emit(event.ConfigBad, event.Fields{"revision": doc.Revision, "error": err.Error()})
		return
	}
	next.Adopt(t.engine)
	t.engine = next
	t.engine.SetPermit(0, t.permitted)
	t.setSessions(now)
	t.applyDrain(doc, o.cfg.Centre, now)
	t.generation = -1
	t.dirty = true
}

// ready reports whether every worker was heard or has certainly let its leases lapse.
func (o *Owner) ready(t *term, now time.Time) bool {
	if t.heardAll {
		return true
	}
	if now.Sub(t.began) <= o.cfg.Lease+leaseMargin {
		for _, s := range t.sessions {
			if !s.heard.After(t.began) {
				return false
			}
		}
	}
	t.heardAll = true
	t.dirty = true
	for _, f := range t.found {
		stray(f.session, f.status)
	}
	t.found = nil
	o.cfg.Log.Emit(event.OwnerReady, event.Fields{"dataCentre": o.cfg.Centre, "epoch": t.epoch, "took": now.Sub(t.began).String()})
	return true
}

// intake takes in what the ledger says about jobs that this owner does not run.
func (o *Owner) intake(t *term) {
	generation := o.cfg.Ledger.Generation()
	if generation == t.generation {
		return
	}
	t.generation = generation
	o.cfg.Ledger.Each(func(r ledger.Record) { o.consider(t, r) })
}

func (o *Owner) consider(t *term, r ledger.Record) {
	g := t.gangs[r.Job]
	known := t.engine.Job(r.Job)
	switch {
	case g != nil:
		if r.CancelAsked && r.Open() && g.stage == running {
			o.halt(t, g, cancelled, "cancelled")
		}
	case !r.Open():
		t.engine.Withdraw(r.Job)
		t.engine.Forget(r.Job)
	case r.Held || (r.DataCentre != "" && r.DataCentre != o.cfg.Centre):
		if known != nil {
			t.engine.Withdraw(r.Job)
		}
	case r.CancelAsked:
		t.engine.Withdraw(r.Job)
		o.record(r.Job, func(record *ledger.Record, _ bool) error {
			record.End(queue.Cancelled, "cancelled", "", o.cfg.Now())
			return nil
		})
	case known == nil:
		if err := t.engine.Submit(r.Spec, r.Submitted); err == nil {
			t.engine.Restore(r.Job, r.Attempt, r.Progress.Duration)
			t.dirty = true
		}
	}
}

// decide runs the engine if anything has changed and carries its actions out.
func (o *Owner) decide(t *term, now time.Time) {
	if !t.dirty && (t.wake.IsZero() || now.Before(t.wake)) {
		return
	}
	t.dirty = false
	for _, action := range t.engine.Decide(now) {
		o.carryOut(t, action, now)
	}
	t.wake = time.Time{}
	if at, ok := t.engine.NextWake(now); ok {
		t.wake = at
	}
	o.logWaits(t)
}

// logWaits writes a line for each job whose reason to wait has changed.
func (o *Owner) logWaits(t *term) {
	waits := make(map[string]reason.Code, len(t.waits))
	for _, j := range t.engine.Waiting() {
		waits[j.Job] = j.Reason.Code
		if last, known := t.waits[j.Job]; !known || last != j.Reason.Code {
			o.cfg.Log.Emit(event.Waits, event.Fields{"job": j.Job, "why": j.Reason.Code.String()})
		}
	}
	t.waits = waits
}

func (o *Owner) carryOut(t *term, action engine.Action, now time.Time) {
	switch a := action.(type) {
	case engine.Start:
		o.cfg.Log.Emit(event.Placed, event.Fields{"job": a.Job, "attempt": a.Attempt, "workers": t.engine.Fleet.Names(a.Workers), "why": a.Why})
		o.launch(t, a, now)
	case engine.Stop:
		o.cfg.Log.Emit(event.StopAsked, event.Fields{"job": a.Job, "attempt": a.Attempt, "checkpoint": a.Checkpoint, "why": a.Why})
		if g := t.gangs[a.Job]; g != nil {
			o.order(t, g, a.Checkpoint)
		}
	case engine.End:
		o.recordEnd(a.Job, a.Outcome, a.Why, "")
	}
}
