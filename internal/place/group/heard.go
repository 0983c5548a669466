package group

import (
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// WorkerExit is an exit and the worker that listed it. Incarnation is that of the worker at that time; zero if the worker reports none,
// or if the exit was heard by a release that does not pass it on.
type WorkerExit struct {
	Worker      string
	Incarnation int64
	Exit        ExitEntry
}

// heardExit is an exit that was applied and whose record may not be durable yet.
type heardExit struct {
	WorkerExit
	pendingExit
	at time.Time
}

// minHeardExits is the number of heard exits from which those with durable records are dropped.
const minHeardExits = 256

// noteExit remembers an exit that has changed the job.
func (e *Engine) noteExit(x WorkerExit, j *Job, now time.Time) {
	if len(e.heardExits) >= max(minHeardExits, 2*e.heardExitsKept) {
		e.dropDurableExits()
	}
	e.heardExits = append(e.heardExits, heardExit{
		WorkerExit: x, at: now, pendingExit: pendingExit{exitNumber: x.Exit.Number, job: j, requiredChanges: j.changes},
	})
}

func (e *Engine) dropDurableExits() {
	e.heardExits = slices.DeleteFunc(e.heardExits, func(h heardExit) bool { return h.durable() })
	e.heardExitsKept = len(e.heardExits)
}

// UnrecordedExits returns the exits whose records may not be durable, the oldest first. Their workers may be lost before they list them
// to another owner.
func (e *Engine) UnrecordedExits() []WorkerExit {
	e.dropDurableExits()
	exits := make([]WorkerExit, len(e.heardExits))
	for i, h := range e.heardExits {
		exits[i] = h.WorkerExit
	}
	return exits
}

// CompletedUnrecorded returns the jobs that are completed though that is not on record, with the exits of theirs that may not be either.
func (e *Engine) CompletedUnrecorded() map[string][]WorkerExit {
	exits := make(map[string][]WorkerExit)
	for _, h := range e.heardExits {
		if j := h.job; j.Record.Phase == work.Completed && !j.endDurable && !h.durable() {
			exits[j.ID()] = append(exits[j.ID()], h.WorkerExit)
		}
	}
	return exits
}

// UnrecordedSince returns since when the oldest of these exits is known; zero if there is none.
func (e *Engine) UnrecordedSince() time.Time {
	for _, h := range e.heardExits {
		if !h.durable() {
			return h.at
		}
	}
	return time.Time{}
}

// AwaitReports keeps the runs of earlier owners, of which an exit may be reported, from being given up until ReportsComplete is called.
// Their workers' listings still count: what the incarnation shows to which a start was sent, no report contradicts.
func (e *Engine) AwaitReports() { e.awaitsReports = true }

// ReportsComplete records that all exits that earlier owners have heard are applied, as far as they can be learned.
func (e *Engine) ReportsComplete() { e.awaitsReports = false }

// mayGiveUp reports whether the member may be ended without its worker's word.
func (e *Engine) mayGiveUp(m *Member) bool { return m.State != Inherited || !e.awaitsReports }

// ApplyHeardExits applies exits that workers have listed to an earlier owner.
func (e *Engine) ApplyHeardExits(exits []WorkerExit, now time.Time) {
	for _, x := range exits {
		if w := e.workers[x.Worker]; w != nil && x.Exit.Status.IsAExitStatus() {
			e.reportHeard(w, x)
			if j := e.applyExit(w, x.Incarnation, x.Exit, now); j != nil {
				e.noteExit(x, j, now)
			}
		}
	}
}

// reportHeard logs an exit that an earlier owner has heard of, and the state of the run that it is about.
func (e *Engine) reportHeard(w *Worker, x WorkerExit) {
	state := "not known"
	if m := w.members[runKey{x.Exit.Task, x.Exit.Run}]; m != nil {
		state = m.State.String()
		if !m.ranIn(x.Incarnation) {
			state += " in another incarnation"
		}
	}
	e.emit(Decision{
		Kind: ExitHeard, Worker: w.ID, Task: x.Exit.Task, Run: x.Exit.Run, Incarnation: w.Incarnation, Previous: x.Incarnation,
		Text: x.Exit.Status.String() + ", the run was " + state,
	})
}

// unrecordedJob returns the job that the exit has changed when it was heard before, nil if that is on record.
func (e *Engine) unrecordedJob(entry ExitEntry) *Job {
	for _, h := range e.heardExits {
		if h.Exit.Task == entry.Task && h.Exit.Run == entry.Run && !h.durable() {
			return h.job
		}
	}
	return nil
}
