package owner

import (
	"context"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/reason"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
)

// unconfigured is the index of a session whose worker is no longer configured.
const unconfigured = -1

// session is the owner's state of one worker.
type session struct {
	name string
	// index is the worker's index in the engine's fleet, or unconfigured.
	index    int
	lastSeen time.Time
	lastPoll time.Time
	// lastCall is when the last call was sent; each may have renewed the worker's lease.
	lastCall     time.Time
	busy         bool
	lost         bool
	pendingStops []worker.StopOrder
	pendingAcks  []worker.TaskID
}

// hasOrders reports whether orders are pending for the worker.
func (s *session) hasOrders() bool { return len(s.pendingStops) > 0 || len(s.pendingAcks) > 0 }

// term is the owner's state during one epoch.
type term struct {
	epoch     int64
	startedAt time.Time
	revision  int64
	engine    *engine.Engine
	sessions  []*session
	byName    map[string]*session
	gangs     map[string]*gang
	// unrecorded are the gangs that have ended and whose outcome is being recorded, by job; workers keep their reports until it is.
	unrecorded      map[string][]*gang
	earlyReports    []earlyReport
	generation      int64
	workersKnown    bool
	permitted       bool
	pendingDecision bool
	nextDecision    time.Time
	// loggedReasons holds the last logged reason of each waiting job.
	loggedReasons map[string]reason.Code
}

// earlyReport is a task that a worker reported before the state of all workers was known.
type earlyReport struct {
	session *session
	status  worker.Status
}

// newTerm builds the state of a new epoch; it returns nil while the configuration or the ledger is not available.
func (o *Owner) newTerm(ctx context.Context, epoch int64, now time.Time) (*term, error) {
	active := o.cfg.Configuration.Active()
	if active.Document == nil {
		return nil, nil
	}
	if err := o.cfg.Ledger.Load(ctx); err != nil {
		return nil, nil //nolint:nilerr // the store's state is logged by its watcher; the next step tries again
	}
	e, err := active.Document.ForCentre(o.cfg.Centre, o.cfg.Policy)
	if err != nil {
		return nil, err
	}
	t := &term{epoch: epoch, startedAt: now, engine: e, revision: active.Document.Revision, generation: -1, gangs: make(map[string]*gang), unrecorded: make(map[string][]*gang)}
	t.engine.SetPermit(0, false)
	t.setSessions(now)
	t.applyDrain(active.Document, o.cfg.Centre, now)
	o.cfg.Ledger.Each(func(r ledger.Record) { t.restoreGang(r, o.cfg.Centre, now) })
	return t, nil
}

// setSessions creates a session for each worker of the engine and keeps the existing ones. That of a worker that is no longer
// configured is kept while a gang uses it, so that its tasks are stopped, or counted as lost once their lease has expired.
func (t *term) setSessions(now time.Time) {
	existing := t.byName
	t.sessions, t.byName = nil, make(map[string]*session)
	for i := range t.engine.Fleet.Workers {
		name := t.engine.Fleet.Workers[i].Name
		s := existing[name]
		if s == nil {
			s = &session{name: name, lastSeen: now}
		}
		s.index = i
		t.sessions = append(t.sessions, s)
		t.byName[name] = s
	}
	for name, s := range existing {
		if t.byName[name] == nil && t.used(name) {
			s.index = unconfigured
			t.sessions = append(t.sessions, s)
			t.byName[name] = s
		}
	}
}

// used reports whether a gang has a member on the worker, or one that has ended there is not recorded yet.
func (t *term) used(name string) bool {
	for _, g := range t.gangs {
		if g.usesWorker(name) {
			return true
		}
	}
	for _, ended := range t.unrecorded {
		if slices.ContainsFunc(ended, func(g *gang) bool { return g.usesWorker(name) }) {
			return true
		}
	}
	return false
}

// recording reports whether the outcome of the task's attempt is being recorded.
func (t *term) recording(id worker.TaskID) bool {
	return slices.ContainsFunc(t.unrecorded[id.Job], func(g *gang) bool { return g.attempt == id.Attempt })
}

// dropUnconfigured ends the sessions of workers that are no longer configured, whose gangs have ended and whose last orders
// are delivered.
func (t *term) dropUnconfigured() {
	t.sessions = slices.DeleteFunc(t.sessions, func(s *session) bool {
		if s.index != unconfigured || t.used(s.name) || s.hasOrders() && !s.lost {
			return false
		}
		delete(t.byName, s.name)
		return true
	})
}

// restoreGang adds a job to the engine that runs here according to the ledger; reports of the workers correct it later. Workers that
// are no longer configured get a session, as the gang may run there until it is stopped or their leases have expired.
func (t *term) restoreGang(r ledger.Record, centre string, now time.Time) {
	if !r.Open() || r.DataCentre != centre || len(r.Workers) != r.Members {
		return
	}
	workers := make([]int, 0, len(r.Workers))
	for _, name := range r.Workers {
		if w, ok := t.engine.Fleet.Worker(name); ok {
			workers = append(workers, w)
		}
	}
	if err := t.engine.Resume(r.Spec, r.Submitted, r.Started, r.Attempt, r.Progress.Duration, workers); err != nil {
		return
	}
	g := newGang(r.Spec, r.Submitted, r.Attempt, r.Workers, running)
	g.restored = true
	t.gangs[r.Job] = g
	for _, name := range r.Workers {
		if t.byName[name] == nil {
			s := &session{name: name, index: unconfigured, lastSeen: now}
			t.sessions = append(t.sessions, s)
			t.byName[name] = s
		}
	}
}

// applyDrain drains or reopens the engine's data centre according to the configuration document.
func (t *term) applyDrain(doc *config.Document, centre string, now time.Time) {
	if drain, ok := doc.Drained(centre); ok {
		t.engine.Drain(0, drain.Deadline, now)
		return
	}
	t.engine.Reopen(0)
}

// reconfigure changes the term to the active configuration revision.
func (o *Owner) reconfigure(t *term, now time.Time) {
	doc := o.cfg.Configuration.Active().Document
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
	t.pendingDecision = true
}

// ready reports whether every worker has answered or its leases have certainly expired.
func (o *Owner) ready(t *term, now time.Time) bool {
	if t.workersKnown {
		return true
	}
	for _, s := range t.sessions {
		if !s.lastSeen.After(t.startedAt) && !s.lost && !o.leaseExpired(s, now) {
			return false
		}
	}
	t.workersKnown = true
	t.pendingDecision = true
	for _, f := range t.earlyReports {
		t.endOrphan(f.session, f.status)
	}
	t.earlyReports = nil
	o.cfg.Log.Emit(event.OwnerReady, event.Fields{"dataCentre": o.cfg.Centre, "epoch": t.epoch, "took": now.Sub(t.startedAt).String()})
	return true
}

// applyLedger applies the ledger's records to the engine if they have changed.
func (o *Owner) applyLedger(t *term) {
	generation := o.cfg.Ledger.Generation()
	if generation == t.generation {
		return
	}
	t.generation = generation
	o.cfg.Ledger.Each(func(r ledger.Record) { o.applyRecord(t, r) })
}

func (o *Owner) applyRecord(t *term, r ledger.Record) {
	g := t.gangs[r.Job]
	known := t.engine.Job(r.Job)
	switch {
	case g != nil:
		if r.CancelRequested && r.Open() && g.stage == running {
			o.halt(t, g, haltCancelled, "cancelled")
		}
	case !r.Open():
		t.engine.Withdraw(r.Job)
		t.engine.Forget(r.Job)
	case r.Held || (r.DataCentre != "" && r.DataCentre != o.cfg.Centre):
		if known != nil {
			t.engine.Withdraw(r.Job)
		}
	case r.CancelRequested:
		t.engine.Withdraw(r.Job)
		o.record(r.Job, func(record *ledger.Record, _ bool) error {
			record.End(queue.Cancelled, "cancelled", "", o.cfg.Now())
			return nil
		})
	case known == nil:
		if err := t.engine.Submit(r.Spec, r.Submitted); err == nil {
			t.engine.Restore(r.Job, r.Attempt, r.Progress.Duration)
			t.pendingDecision = true
		}
	}
}

// decide runs the engine if a decision is pending or due and executes its actions.
func (o *Owner) decide(t *term, now time.Time) {
	if !t.pendingDecision && (t.nextDecision.IsZero() || now.Before(t.nextDecision)) {
		return
	}
	t.pendingDecision = false
	for _, action := range t.engine.Decide(now) {
		o.execute(t, action, now)
	}
	t.nextDecision = time.Time{}
	if at, ok := t.engine.NextDecision(now); ok {
		t.nextDecision = at
	}
	o.logWaits(t)
}

// logWaits logs each job whose reason for waiting has changed.
func (o *Owner) logWaits(t *term) {
	reasons := make(map[string]reason.Code, len(t.loggedReasons))
	for _, j := range t.engine.Waiting() {
		reasons[j.Job] = j.Reason.Code
		if last, known := t.loggedReasons[j.Job]; !known || last != j.Reason.Code {
			o.cfg.Log.Emit(event.Waits, event.Fields{"job": j.Job, "why": j.Reason.Code.String()})
		}
	}
	t.loggedReasons = reasons
}

func (o *Owner) execute(t *term, action engine.Action, now time.Time) {
	switch a := action.(type) {
	case engine.Start:
		o.cfg.Log.Emit(event.Placed, event.Fields{"job": a.Job, "attempt": a.Attempt, "workers": t.engine.Fleet.Names(a.Workers), "why": a.Why})
		o.launch(t, a, now)
	case engine.Stop:
		o.cfg.Log.Emit(event.StopAsked, event.Fields{"job": a.Job, "attempt": a.Attempt, "checkpoint": a.Checkpoint, "why": a.Why})
		if g := t.gangs[a.Job]; g != nil {
			o.stopMembers(t, g, a.Checkpoint)
		}
	case engine.End:
		o.recordEnd(a.Job, a.Outcome, a.Why, "")
	}
}
