package owner

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
)

// stage is the progress of a gang.
type stage int

const (
	// starting gangs are being recorded, reserved and started.
	starting stage = iota
	// running gangs run on all their workers, as far as the owner knows.
	running
	// halting gangs are being stopped on all their workers.
	halting
	// recording gangs have finished; the workers keep the reports until the result is recorded.
	recording
)

// haltOutcome is what is reported to the engine once every member of a halting gang has ended.
type haltOutcome int

const (
	haltStopped haltOutcome = iota
	haltFailed
	haltLost
	haltCancelled
	haltStartFailed
)

// member is the last known state of one task of a gang.
type member struct {
	phase    worker.Phase
	reported bool
	neverRan bool
	lost     bool
	progress time.Duration
	result   string
}

func (m *member) ended() bool { return m.lost || (m.reported && m.phase.Ended()) }

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
	// restored is true if a new owner found the gang in the ledger.
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

// allEnded reports whether no member occupies a worker any more.
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

// progress returns the run time that every member has saved.
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

// stopMembers queues a stop order for every member and changes the gang to halting.
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

// halt stops a gang on the owner's decision; its capacity stays allocated until all members have ended.
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

// neverRan reports whether every worker has confirmed that its member was stopped before it started.
func (g *gang) neverRan() bool {
	for i := range g.members {
		if g.members[i].lost || !g.members[i].neverRan {
			return false
		}
	}
	return true
}

// advance changes the stage of a gang after new reports on its members.
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

// finish frees the capacity at once and records the result; the workers keep their reports until it is recorded.
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

// acknowledgeRecorded acknowledges the reports of a gang whose result is recorded.
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
	t.acknowledgeMembers(g)
}

func (t *term) acknowledgeMembers(g *gang) {
	for i, name := range g.workers {
		if s := t.byName[name]; s != nil {
			s.pendingAcks = append(s.pendingAcks, g.id(i))
		}
	}
}

// acknowledgeEnded acknowledges the reports of gangs of the job that had ended before a record of the job was stored or refused.
func (t *term) acknowledgeEnded(job string, ended []*gang) {
	t.unrecorded[job] = slices.DeleteFunc(t.unrecorded[job], func(g *gang) bool { return slices.Contains(ended, g) })
	if len(t.unrecorded[job]) == 0 {
		delete(t.unrecorded, job)
	}
	for _, g := range ended {
		t.acknowledgeMembers(g)
	}
}

// concludeHalt reports the outcome of a halted gang to the engine and records it; the workers keep their reports until it is
// recorded, as a successor needs them otherwise.
func (o *Owner) concludeHalt(t *term, g *gang, now time.Time) {
	progress := g.progress()
	delete(t.gangs, g.spec.Job)
	t.unrecorded[g.spec.Job] = append(t.unrecorded[g.spec.Job], g)
	if g.outcome == haltLost && g.neverRan() {
		g.outcome = haltStartFailed
	}
	switch g.outcome {
	case haltFailed:
		if w, ok := t.engine.Fleet.Worker(g.failedOn); ok {
			t.engine.Failed(g.spec.Job, w, now)
		} else {
			// There is no worker to count the failure against, as it is no longer configured.
			t.engine.Lost(g.spec.Job, g.why, now)
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
	switch j := t.engine.Job(g.spec.Job); {
	case j == nil:
		// Nothing will be recorded of a job that the engine does not know.
		t.acknowledgeEnded(g.spec.Job, []*gang{g})
	case j.Phase == queue.Waiting:
		o.returnToQueue(j.Job, j.Attempt, j.Progress)
	}
	t.pendingDecision = true
}

// returnToQueue records that no data centre holds the job, so that any may start it.
func (o *Owner) returnToQueue(job string, attempt int, progress time.Duration) {
	o.record(job, func(r *ledger.Record, exists bool) error {
		if !exists || !r.Open() || r.DataCentre != o.cfg.Centre || r.Attempt > attempt {
			return &ledger.MissingError{Job: job}
		}
		r.DataCentre, r.Phase, r.Workers = "", queue.Waiting, nil
		r.Attempt, r.Progress = attempt, span.Of(progress)
		if r.CancelRequested {
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
