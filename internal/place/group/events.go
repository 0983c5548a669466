package group

import (
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// RunningEntry is one task that a worker reports as running.
type RunningEntry struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
}

// ExitEntry is one exit that a worker reports until it is acknowledged; Number counts the exits of its incarnation.
type ExitEntry struct {
	Number     int64
	Task       string
	Run        int
	Status     ExitStatus
	Checkpoint string
}

// Listing is a worker's answer to a poll: its incarnation, all that runs on it and the exits that are not acknowledged.
type Listing struct {
	Incarnation int64
	Running     []RunningEntry
	// Exits are ordered by number.
	Exits []ExitEntry
	// MoreExits is true if the worker may have further exits, which it lists once these are acknowledged. A task that is
	// missing from such a listing may have ended in any way.
	MoreExits bool
}

// ApplyListing applies a worker's answer to a poll that was sent at sentAt; an answer of an earlier incarnation is ignored.
//
// Incarnations are start times by the worker's time of day, which may jump, so a lower one is a later one if its answer was
// requested after the present one was seen.
func (e *Engine) ApplyListing(id string, list Listing, sentAt, now time.Time) {
	w := e.workers[id]
	if w == nil {
		return
	}
	if list.Incarnation != 0 && w.Incarnation != 0 && list.Incarnation != w.Incarnation {
		if w.pastIncarnations[list.Incarnation] || list.Incarnation < w.Incarnation && !sentAt.After(w.incarnationSeenAt) {
			return
		}
		e.workerRestarted(w, list.Incarnation, "its own listing", list.Running, now)
	}
	if list.Incarnation != 0 {
		w.Incarnation, w.incarnationSeenAt = list.Incarnation, now
	}
	w.answeredAt = now
	if sentAt.After(w.LastSeen) {
		w.seenBefore, w.LastSeen = w.LastSeen, sentAt
	}
	for _, entry := range list.Exits {
		if entry.Number <= w.LastExit {
			continue
		}
		w.LastExit = entry.Number
		delete(w.orphans, runKey{entry.Task, entry.Run})
		j := e.applyExit(w, w.Incarnation, entry, now)
		if j != nil {
			e.noteExit(WorkerExit{Worker: w.ID, Incarnation: w.Incarnation, Exit: entry}, j, now)
		} else {
			j = e.unrecordedJob(entry)
		}
		if j != nil {
			w.pendingExits = append(w.pendingExits, pendingExit{exitNumber: entry.Number, job: j, requiredChanges: j.changes})
		}
		e.workersWithExits[w] = true
	}
	for key := range w.abandoned {
		e.emit(StopOrder{Worker: w.ID, Task: key.task, Run: key.run})
	}
	e.applyRunning(w, list.Running, now)
	e.setMoreExits(w, list.MoreExits)
	if list.MoreExits {
		return
	}
	w.dropEndedOrphans(list.Running)
	e.applyMissing(w, list.Running, sentAt, now)
}

// setMoreExits records whether the worker's last listing left out exits, and logs when that begins.
func (e *Engine) setMoreExits(w *Worker, moreExits bool) {
	if moreExits && !w.moreExits {
		e.emit(Decision{Kind: ExitsPending, Worker: w.ID, Text: "the worker has more exits than it lists at a time"})
	}
	w.moreExits = moreExits
}

// applyExit applies an exit that the incarnation of the worker has listed, and returns the job whose record it may have changed, or nil
// if there is none. That a task is done holds whatever runs now; any other exit says nothing of a run in another incarnation.
func (e *Engine) applyExit(w *Worker, incarnation int64, entry ExitEntry, now time.Time) *Job {
	m := w.members[runKey{entry.Task, entry.Run}]
	if m == nil || !m.ranIn(incarnation) {
		if entry.Status == Done {
			return e.applyLateSuccess(w, entry, now)
		}
		return nil
	}
	e.endMember(m, entry.Status, entry.Checkpoint, now)
	return m.Run.Group.Job
}

// applyRunning compares the running tasks that the worker reports with its members, and stops orphans.
func (e *Engine) applyRunning(w *Worker, running []RunningEntry, now time.Time) {
	for _, entry := range running {
		m := w.members[runKey{entry.Task, entry.Run}]
		if m == nil || m.State == Planned {
			w.orphans[runKey{entry.Task, entry.Run}] = true
			e.emit(StopOrder{Worker: w.ID, Task: entry.Task, Run: entry.Run})
			continue
		}
		m.incarnation, m.restarted = w.Incarnation, false
		e.setTarget(m, w.Incarnation)
		if m.State == Inherited {
			// The worker refuses orders of earlier owners from now on.
			m.settledAt = now.Add(e.cfg.StopTimeout)
		}
		if m.State != Started {
			e.markStarted(m, now)
		}
		if m.stopSent && m.stopAckedAt.IsZero() {
			e.emit(StopOrder{Worker: w.ID, Task: entry.Task, Run: entry.Run})
		}
		m.sampleRate(entry.Percent, now)
		m.Run.Group.Job.rateSampled = m.Run.Group.Job.rateSampled || m.rateUnused
		if entry.Percent != m.Percent || !m.Run.complete() {
			m.Percent, m.progressedAt = entry.Percent, now
		}
		e.endProbation(m.Run, now)
		if entry.Checkpoint != "" && m.Run.Group.step().Checkpoints {
			m.Run.Group.record().Checkpoint = entry.Checkpoint
		}
	}
}

// dropEndedOrphans forgets the orphans that a complete listing does not show as running.
func (w *Worker) dropEndedOrphans(running []RunningEntry) {
	for key := range w.orphans {
		if !slices.ContainsFunc(running, func(entry RunningEntry) bool { return entry.Task == key.task && entry.Run == key.run }) {
			delete(w.orphans, key)
		}
	}
}

// complete reports whether all members have started; a gang makes no progress before.
func (r *Run) complete() bool {
	for _, m := range r.Members {
		if m.State != Started {
			return false
		}
	}
	return true
}

// applyMissing ends or resends members that the worker did not report in a complete listing although it should have.
func (e *Engine) applyMissing(w *Worker, running []RunningEntry, sentAt, now time.Time) {
	for _, m := range w.sortedMembers() {
		m.heldReported = false
		switch {
		case m.listedIn(running):
		case m.State == Inherited:
			e.inheritedMissing(m, now)
		case !m.stopAckedAt.IsZero() && m.stopAckedAt.Before(sentAt):
			e.endMissing(m, Stopped, now)
		case m.stopSent && m.stopAckedAt.IsZero():
			e.emit(StopOrder{Worker: w.ID, Task: m.task, Run: m.Run.Number})
		case m.startAckedAt.IsZero() || !m.startAckedAt.Before(sentAt):
		case m.mayStartLate():
			e.stopRun(m.Run, StartUnanswered, "a start without a response may still be executed", now)
		default:
			e.endMissing(m, Lost, now)
		}
	}
}

// endMissing ends a member that its worker does not list; one that an earlier incarnation ran ended in a crash.
func (e *Engine) endMissing(m *Member, status ExitStatus, now time.Time) {
	if m.restarted {
		e.recordCrash(m, m.crash, now)
	}
	e.endMember(m, status, "", now)
}

// wanted reports whether tasks of the run may still start: it is neither done, broken nor being stopped, and its job is open.
func (r *Run) wanted() bool {
	j := r.Group.Job
	return !j.Cancelled && !j.Record.Phase.Final() && !r.Group.record().Done && !r.broken() && r.stopReason == ""
}

// unseenWorker reports whether a complete listing of a member's worker is still awaited: it may show that the gang has ended.
func (r *Run) unseenWorker() bool {
	return slices.ContainsFunc(r.Members, func(m *Member) bool {
		return m.State == Inherited && (m.Worker.LastSeen.IsZero() || m.Worker.moreExits)
	})
}

// orderStart emits the start order of one member.
func (e *Engine) orderStart(m *Member, now time.Time) {
	m.State, m.orderedAt, m.progressedAt = Ordered, now, now
	e.setTarget(m, m.Worker.Incarnation)
	e.emit(StartOrder{Member: m, Worker: m.Worker.ID, Task: m.task, Run: m.Run.Number,
		Payload: m.Run.Group.Job.Spec.Payload, Checkpoint: m.Run.checkpoint})
}

// markStarted records that the member runs; the first started member makes the job's phase Running.
func (e *Engine) markStarted(m *Member, now time.Time) {
	m.State = Started
	if m.progressedAt.IsZero() || m.Percent == 0 {
		m.progressedAt = now
	}
	j := m.Run.Group.Job
	if !j.begun {
		j.begun = true
		if !j.Record.Phase.Final() {
			j.Record.Phase = work.Running
		}
		e.markChanged(j)
	}
}

// StartResult is the outcome of a start order.
type StartResult int

// The results of a start order. An order whose response was lost is sent again and has no result yet.
const (
	// Accepted means that the task runs.
	Accepted StartResult = iota
	// NoRoom means that the worker refused the start for lack of room.
	NoRoom
	// Unhealthy means that the worker refuses all starts for now.
	Unhealthy
	// Outdated means that the run was stopped or has ended on the worker, whose listing shows which.
	Outdated
	// Refused means any other definite refusal.
	Refused
	// Unreached means that the order was never sent, because the worker is unreachable.
	Unreached
	// Unconfirmed means that the worker refused a repeated order, but an earlier one without a response may have arrived.
	Unconfirmed
)

// ApplyStartResult applies the result of a start order; after a refusal the worker gets no new tasks for
// Config.RefusalPause. An unconfirmed start may run, have ended or still arrive, and an outdated one may have ended, so the run is
// stopped and the member stays until the worker lists its exit or has acknowledged the stop.
func (e *Engine) ApplyStartResult(m *Member, result StartResult, now time.Time) {
	if m.State == Ended {
		return
	}
	if result == Accepted {
		m.startAckedAt, m.Worker.startAckedAt = now, now
		if m.State == Ordered {
			e.markStarted(m, now)
		}
		return
	}
	if m.State == Started && (result == Outdated || result == Unconfirmed) {
		return
	}
	switch result {
	case Unconfirmed:
		e.stopRun(m.Run, StartUnanswered, "a start was refused after an order without a response", now)
		return
	case Outdated:
		e.stopRun(m.Run, StartUnanswered, "a start was refused as the run was stopped or has ended on the worker", now)
		return
	default:
	}
	if pause := e.cfg.RefusalPause[result]; pause > 0 {
		m.Worker.avoid(now.Add(pause))
	}
	e.endMember(m, Void, "", now)
}

// avoid keeps new tasks off the worker until the given time, or until that of an earlier call if it is later.
func (w *Worker) avoid(until time.Time) {
	w.AvoidUntil = latest(w.AvoidUntil, until)
}

// StopAcknowledged records that the worker has acknowledged the stop of a run, and reports false if the stop must be sent
// again: one that was meant for an earlier incarnation is no evidence of what the present one runs.
func (e *Engine) StopAcknowledged(id string, incarnation int64, task string, run int, now time.Time) bool {
	w := e.workers[id]
	if w == nil {
		return true
	}
	if w.Incarnation != incarnation {
		return false
	}
	delete(w.abandoned, runKey{task, run})
	if m := w.members[runKey{task, run}]; m != nil && m.stopAckedAt.IsZero() {
		m.stopAckedAt = now
	}
	return true
}

// Cancel ends a job on its caller's request; unknown, cancelled and final jobs are unaffected.
func (e *Engine) Cancel(id string, now time.Time) {
	j := e.jobs[id]
	if j == nil || j.Cancelled {
		return
	}
	j.Cancelled = true
	if j.Record.Phase.Final() {
		return
	}
	e.finishJob(j, work.Cancelled, "cancelled", now)
}

// finishJob moves the job to a final phase and stops its runs.
func (e *Engine) finishJob(j *Job, phase work.Phase, why string, now time.Time) {
	j.Record.Phase, j.endedAt, j.urgent, j.rejectedUntil = phase, now, true, time.Time{}
	e.markChanged(j)
	for _, g := range j.groups {
		e.dropReservation(g)
		if g.Run != nil {
			e.stopRun(g.Run, endCause(phase), why, now)
		}
	}
	e.emit(Decision{Job: j.ID(), Kind: JobOver, Text: phase.String() + ": " + why})
}

// endCause returns the cause with which the runs of a job are stopped that has ended with the phase.
func endCause(phase work.Phase) Cause {
	if phase == work.Cancelled {
		return Cancel
	}
	return JobFinished
}

// endMember marks a member as ended, frees its room, and ends its run with the last member.
func (e *Engine) endMember(m *Member, status ExitStatus, checkpoint string, now time.Time) {
	if m.State == Ended {
		return
	}
	run, g := m.Run, m.Run.Group
	if status == Lost && (m.mayStartLate() || m.startAckedAt.IsZero() && m.State == Ordered && m.startSent) {
		m.Worker.abandoned[runKey{m.task, run.Number}] = true
	}
	discarded := m.unsavedCoreSeconds(now)
	m.State = Ended
	m.Worker.detach(m)
	run.aliveMembers--
	e.markGroupChanged(g)
	if checkpoint != "" && status != Done && g.step().Checkpoints {
		g.record().Checkpoint = checkpoint
	}
	switch status {
	case Done:
		e.recordSuccess(m, now)
		m.Worker.failures.groups = nil
		g.Job.noteOutcome(m.Worker, false, now)
	case Failed:
		e.recordFailure(g, m, now)
	default:
	}
	if status != Done && run.brokenAt.IsZero() {
		run.brokenAt = now
	}
	if status != Done && status != Stopped {
		e.emit(Decision{
			Kind: RunBroken, Job: g.Job.ID(), Worker: m.Worker.ID, Task: m.task, Run: run.Number, CoreSeconds: discarded,
			Text: status.String(),
		})
	}
	if run.aliveMembers == 0 {
		e.endRun(run, now)
	}
}

// recordSuccess marks the member's task group as done.
func (e *Engine) recordSuccess(m *Member, now time.Time) {
	g := m.Run.Group
	if g.record().Done || g.step().LongRunning {
		return
	}
	e.recordDone(g, Decision{
		Worker: m.Worker.ID, Task: m.task, Run: m.Run.Number, Took: now.Sub(m.Run.PlannedAt), Estimate: g.step().Estimate,
		Overdue: m.overdue(now), Speed: m.Run.slowestSpeed(),
	}, now)
}

// recordDone marks the task group as done and logs the decision, and completes the job once all its task groups are done.
func (e *Engine) recordDone(g *Group, d Decision, now time.Time) {
	j := g.Job
	j.lastRan = now
	g.record().Done, g.record().FailedOn = true, nil
	d.Kind, d.Job = RunDone, j.ID()
	e.emit(d)
	g.occ.unfinished[g.Step]--
	if slices.ContainsFunc(j.occurrences, func(occ *occurrence) bool { return !occ.done() }) {
		return
	}
	if !j.Record.Phase.Final() {
		e.finishJob(j, work.Completed, "all tasks done", now)
	}
}

// endRun makes the task group ready to run again unless it is done.
func (e *Engine) endRun(run *Run, now time.Time) {
	g := run.Group
	g.Run = nil
	if !g.record().Done {
		g.occ.withoutRun[g.Step]++
	}
	g.record().Workers, g.record().Incarnations, g.record().StartedFrom = nil, nil, ""
	g.readyAt = now
}

// stopRun orders all members to stop; members whose start was never sent end at once.
func (e *Engine) stopRun(run *Run, cause Cause, why string, now time.Time) {
	e.stopRunFor("", run, cause, why, now)
}

// stopRunFor is stopRun for a job that needs the room.
func (e *Engine) stopRunFor(job string, run *Run, cause Cause, why string, now time.Time) {
	if run.stopReason == "" {
		run.stopReason = why
		discarded := 0.0
		for _, m := range run.Members {
			if !run.Group.record().Done {
				discarded += m.unsavedCoreSeconds(now)
			}
		}
		e.emit(Decision{
			Kind: RunStopped, Job: run.Group.Job.ID(), Task: run.Group.taskName(0), Run: run.Number, Cause: cause, For: job, CoreSeconds: discarded, Text: why,
		})
	}
	for _, m := range run.Members {
		switch {
		case m.State == Ended || m.stopSent:
		case m.unsent():
			e.endMember(m, Void, "", now)
		default:
			m.stopSent = true
			e.emit(StopOrder{Worker: m.Worker.ID, Task: m.task, Run: run.Number})
		}
	}
}

// unsavedCoreSeconds is the work of a started member that is discarded if it ends now without success.
func (m *Member) unsavedCoreSeconds(now time.Time) float64 {
	if m.startAckedAt.IsZero() || m.State == Ended {
		return 0
	}
	unsaved := now.Sub(m.startAckedAt).Seconds()
	if m.Run.Group.step().Checkpoints {
		unsaved = min(unsaved, checkpointStopSeconds)
	}
	return unsaved * m.Run.Group.taskNeed().Cores()
}

// silentAfter is the time between two answers of a worker from which it counts as silent; a poll of an idle one may wait 1.5 s.
const silentAfter = 2500 * time.Millisecond

// overdue returns how much later the member's end is known than expected at the worker's answer before; zero if the worker was
// not silent in between.
func (m *Member) overdue(now time.Time) time.Duration {
	w := m.Worker
	if w.seenBefore.IsZero() || now.Sub(w.seenBefore) < silentAfter {
		return 0
	}
	return max(now.Sub(w.seenBefore)-m.remaining(), 0)
}

// slowestSpeed returns the speed of the slowest worker of the run.
func (r *Run) slowestSpeed() float64 {
	slowest := r.Members[0].Worker.speed.value
	for _, m := range r.Members {
		slowest = min(slowest, m.Worker.speed.value)
	}
	return slowest
}
