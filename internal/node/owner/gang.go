package owner

import (
	"sync/atomic"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
)

// stage is how far the owner is with a gang.
type stage int

const (
	// starting gangs are being recorded, reserved and started.
	starting stage = iota
	// running gangs run on all workers, as far as is known.
	running
	// halting gangs are being stopped on all workers.
	halting
	// recording gangs have finished; the workers keep their reports until the result is recorded.
	recording
)

// verdict is what becomes of a halting gang once every member is over.
type haltOutcome int

const (
	haltStopped haltOutcome = iota
	haltFailed
	haltLost
	haltCancelled
	haltStartFailed
)

// member is what is known about one task.
type member struct {
	phase    worker.Phase
	reported bool
	neverRan bool
	lost     bool
	progress time.Duration
	result   string
}

func (m *member) ended() bool { return m.lost || (m.reported && m.phase.Over()) }

// gang is one attempt of a job.
type gang struct {
	spec       queue.Spec
	submitted  time.Time
	attempt    int
	workers    []string
	members    []member
	stage      stage
	outcome    haltOutcome
	why        string
	failedOn   string
	stageSince time.Time
	// startSent is true once a start order may have reached a worker.
	startSent atomic.Bool
	// recalled is true if the gang was found in the ledger by a new owner.
	restored bool
}

func newGang(spec queue.Spec, submitted time.Time, attempt int, workers []string, initial stage) *gang {
	return &gang{spec: spec, submitted: submitted, attempt: attempt, workers: workers, members: make([]member, len(workers)), stage: initial}
}

func (g *gang) id(i int) worker.TaskID {
	return worker.TaskID{Job: g.spec.Job, Attempt: g.attempt, Member: i}
}

func (g *gang) task(i int, progress time.Duration) worker.Task {
	return worker.Task{TaskID: g.id(i), Spec: g.spec, Submitted: g.submitted, Progress: span.Of(progress)}
}

// allOver reports whether no member holds a worker any more.
func (g *gang) allEnded() bool {
	for i := range g.members {
		if !g.members[i].ended() {
			return false
		}
	}
	return true
}

func (g *gang) allFinished() bool {
	for i := range g.members {
		if !g.members[i].reported || g.members[i].phase != worker.Finished {
			return false
		}
	}
	return true
}

// progress is what every member has saved.
func (g *gang) progress() time.Duration {
	lowest := time.Duration(-1)
	for i := range g.members {
		m := &g.members[i]
		if m.lost || !m.reported {
			return 0
		}
		if lowest < 0 || m.progress < lowest {
			lowest = m.progress
		}
	}
	return max(lowest, 0)
}

// order queues a stop for every member and lets the gang halt.
func (o *Owner) stopMembers(t *term, g *gang, checkpoint bool) {
	if g.stage != running && g.stage != halting {
		return
	}
	g.stage = halting
	for i, name := range g.workers {
		if s := t.byName[name]; s != nil && !g.members[i].ended() {
			s.pendingStops = append(s.pendingStops, worker.StopOrder{TaskID: g.id(i), Checkpoint: checkpoint})
		}
	}
}

// halt stops a gang for a reason of the owner's own; the engine holds its capacity until all members are over.
func (o *Owner) halt(t *term, g *gang, outcome haltOutcome, why string) {
	if g.stage == recording {
		return
	}
	g.outcome, g.why = outcome, why
	g.stageSince = o.cfg.Now()
	if g.stage == starting {
		g.stage = running
	}
	t.engine.Abort(g.spec.Job, why, g.stageSince)
	o.stopMembers(t, g, false)
	t.pendingDecision = true
}

// neverRan reports whether every worker says that it stopped its member before it was started.
func (g *gang) neverRan() bool {
	for i := range g.members {
		if g.members[i].lost || !g.members[i].neverRan {
			return false
		}
	}
	return true
}

// judge moves the gang on after news of its members.
func (o *Owner) advance(t *term, g *gang, now time.Time) {
	if g.stage == running {
		o.advanceRunning(t, g, now)
	}
	if g.stage == halting && g.allEnded() {
		o.concludeHalt(t, g, now)
	}
}

func (o *Owner) advanceRunning(t *term, g *gang, now time.Time) {
	if g.allFinished() {
		o.finish(t, g, now)
		return
	}
	for i := range g.members {
		m := &g.members[i]
		switch {
		case m.reported && m.phase == worker.Failed:
			g.failedOn = g.workers[i]
			o.halt(t, g, haltFailed, "a member failed on "+g.workers[i])
			return
		case m.lost || (m.reported && m.phase == worker.Stopped):
			o.halt(t, g, haltLost, "a member on "+g.workers[i]+" is gone")
			return
		case g.restored && m.reported && m.phase == worker.Reserved:
			o.halt(t, g, haltLost, "the start was not complete when its owner was lost")
			return
		}
	}
}

// finish frees the capacity at once and records the result; the workers keep their reports until that is done.
func (o *Owner) finish(t *term, g *gang, now time.Time) {
	g.stage = recording
	t.engine.Finished(g.spec.Job, now)
	t.pendingDecision = true
	result := g.members[0].result
	o.spawn(func() {
		if o.persist(g.spec.Job, func(r *ledger.Record, _ bool) error {
			r.End(queue.Finished, "finished", result, o.cfg.Now())
			return nil
		}) {
			o.cfg.Log.Emit(event.JobEnded, event.Fields{"job": g.spec.Job, "outcome": queue.Finished.String()})
			o.acknowledgeRecorded(g)
		}
	})
}

// settle acknowledges the reports of a gang whose fate is recorded.
func (o *Owner) acknowledgeRecorded(g *gang) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.term
	if t == nil || t.gangs[g.spec.Job] != g {
		return
	}
	o.acknowledge(t, g)
	t.engine.Forget(g.spec.Job)
}

func (o *Owner) acknowledge(t *term, g *gang) {
	delete(t.gangs, g.spec.Job)
	for i, name := range g.workers {
		if s := t.byName[name]; s != nil {
			s.pendingAcks = append(s.pendingAcks, g.id(i))
		}
	}
}

// conclude tells the engine what became of a halted gang and records it.
func (o *Owner) concludeHalt(t *term, g *gang, now time.Time) {
	progress := g.progress()
	o.acknowledge(t, g)
	if g.outcome == haltLost && g.neverRan() {
		g.outcome = haltStartFailed
	}
	switch g.outcome {
	case haltFailed:
		if w, ok := t.engine.Fleet.Worker(g.failedOn); ok {
			t.engine.Failed(g.spec.Job, w, now)
		}
	case haltLost:
		t.engine.Lost(g.spec.Job, g.why, now)
	case haltCancelled:
		t.engine.Cancel(g.spec.Job)
		o.recordEnd(g.spec.Job, queue.Cancelled, "cancelled", "")
	case haltStartFailed:
		t.engine.StartAborted(g.spec.Job, now)
	case haltStopped:
		t.engine.Stopped(g.spec.Job, progress, now)
	}
	if j := t.engine.Job(g.spec.Job); j != nil && j.Phase == queue.Waiting {
		o.returnToQueue(j.Job, j.Attempt, j.Progress)
	}
	t.pendingDecision = true
}

// giveBack records that the job holds nothing here, so that any data centre may take it.
func (o *Owner) returnToQueue(job string, attempt int, progress time.Duration) {
	o.record(job, func(r *ledger.Record, exists bool) error {
		if !exists || !r.Open() || r.DataCentre != o.cfg.Centre || r.Attempt > attempt {
			return &ledger.MissingError{Job: job}
		}
		r.DataCentre, r.Phase, r.Workers = "", queue.Waiting, nil
		r.Attempt, r.Progress = attempt, span.Of(progress)
		if r.CancelAsked {
			r.End(queue.Cancelled, "cancelled", "", o.cfg.Now())
		}
		return nil
	})
}

func (o *Owner) recordEnd(job string, outcome queue.Outcome, why, result string) {
	o.cfg.Log.Emit(event.JobEnded, event.Fields{"job": job, "outcome": outcome.String(), "why": why})
	o.record(job, func(r *ledger.Record, exists bool) error {
		if !exists {
			return &ledger.MissingError{Job: job}
		}
		r.End(outcome, why, result, o.cfg.Now())
		return nil
	})
}
