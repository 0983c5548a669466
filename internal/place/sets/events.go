package sets

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// RunningEntry is one task that a worker says is running.
type RunningEntry struct {
	Task    string
	Run     int
	Saved   string
	Percent int
}

// FinishedEntry is one end that a worker lists until it is acknowledged.
type FinishedEntry struct {
	Number int64
	Task   string
	Run    int
	How    How
	Saved  string
}

// Listing is a worker's answer about all that it holds.
type Listing struct {
	Born     int64
	Running  []RunningEntry
	Finished []FinishedEntry
}

// Listed takes in a worker's answer to a call that was sent at sentAt.
func (e *Engine) Listed(id string, list Listing, sentAt, now time.Time) {
	w := e.workers[id]
	if w == nil {
		return
	}
	if list.Born != 0 && w.Born != 0 && list.Born != w.Born {
		if list.Born < w.Born {
			return
		}
		e.reborn(w, list.Born, now)
	}
	if list.Born != 0 {
		w.Born = list.Born
	}
	if sentAt.After(w.HeardAt) {
		w.HeardAt = sentAt
	}
	for _, entry := range list.Finished {
		if entry.Number <= w.Processed {
			continue
		}
		w.Processed = entry.Number
		delete(w.strangers, runKey{entry.Task, entry.Run})
		if m := w.members[runKey{entry.Task, entry.Run}]; m != nil {
			e.endMember(m, entry.How, entry.Saved, now)
			j := m.Run.Set.Job
			w.unsettled = append(w.unsettled, settling{number: entry.Number, job: j, changes: j.changes})
		}
		e.ending[w] = true
	}
	for key := range w.voids {
		e.act(StopOrder{Worker: w.ID, Task: key.task, Run: key.run})
	}
	e.listedRunning(w, list.Running, now)
	e.absent(w, list.Running, sentAt, now)
}

func (e *Engine) listedRunning(w *Worker, running []RunningEntry, now time.Time) {
	for _, entry := range running {
		m := w.members[runKey{entry.Task, entry.Run}]
		if m == nil || m.State == Planned {
			w.strangers[runKey{entry.Task, entry.Run}] = true
			e.act(StopOrder{Worker: w.ID, Task: entry.Task, Run: entry.Run})
			continue
		}
		if m.State != Started {
			e.started(m, now)
		}
		if m.stopSent && m.stoppedAt.IsZero() {
			e.act(StopOrder{Worker: w.ID, Task: entry.Task, Run: entry.Run})
		}
		m.sampleRate(entry.Percent, now)
		m.Run.Set.Job.measured = m.Run.Set.Job.measured || m.rateFresh
		if entry.Percent != m.Percent || !m.Run.whole() {
			m.Percent, m.movedAt = entry.Percent, now
		}
		if entry.Saved != "" && m.Run.Set.step().Checkpoints {
			m.Run.Set.record().Saved = entry.Saved
		}
	}
	for key := range w.strangers {
		if !slices.ContainsFunc(running, func(entry RunningEntry) bool { return entry.Task == key.task && entry.Run == key.run }) {
			delete(w.strangers, key)
		}
	}
}

// whole reports whether all members have started, so that a gang makes progress.
func (r *Run) whole() bool {
	for _, m := range r.Members {
		if m.State != Started {
			return false
		}
	}
	return true
}

// absent settles members that the worker should have listed and did not.
func (e *Engine) absent(w *Worker, running []RunningEntry, sentAt, now time.Time) {
	for _, m := range w.sorted() {
		listed := slices.ContainsFunc(running, func(entry RunningEntry) bool {
			return entry.Task == m.task && entry.Run == m.Run.Number
		})
		switch {
		case listed:
		case m.State == Inherited:
			e.inheritedAbsent(m, now)
		case !m.startedAt.IsZero() && m.startedAt.Before(sentAt):
			e.endMember(m, Lost, "", now)
		case !m.stoppedAt.IsZero() && m.stoppedAt.Before(sentAt):
			e.endMember(m, Stopped, "", now)
		}
	}
}

// inheritedAbsent sends the start again that the earlier owner recorded but that never reached the worker.
//
// The records may hold more than the worker can: the end that made room for a later run may not have been written.
func (e *Engine) inheritedAbsent(m *Member, now time.Time) {
	s := m.Run.Set
	if s.Job.Cancelled || s.Job.Record.Phase.Final() || s.record().Done || s.record().FailedRun == m.Run.Number ||
		m.Run.stopping != "" || !m.Run.broken.IsZero() || !e.usable(m.Worker, now) || m.Worker.overfull() {
		e.endMember(m, Void, "", now)
		return
	}
	e.start(m, now)
}

// start hands out the start of one member.
func (e *Engine) start(m *Member, now time.Time) {
	m.State, m.orderedAt, m.born, m.movedAt = Ordered, now, m.Worker.Born, now
	e.act(StartOrder{Member: m, Worker: m.Worker.ID, Task: m.task, Run: m.Run.Number,
		Payload: m.Run.Set.Job.Spec.Payload, Saved: m.Run.from})
}

func (e *Engine) started(m *Member, now time.Time) {
	m.State = Started
	if m.movedAt.IsZero() || m.Percent == 0 {
		m.movedAt = now
	}
	j := m.Run.Set.Job
	if !j.begun {
		j.begun = true
		if !j.Record.Phase.Final() {
			j.Record.Phase = work.Running
		}
		e.touch(j)
	}
}

// StartResult is what came of a start.
type StartResult int

// The results; an order whose answer was lost is sent again and has no result yet.
const (
	// Accepted means that the task runs.
	Accepted StartResult = iota
	// NoRoom means that the worker said it lacks room.
	NoRoom
	// Unhealthy means that the worker refuses work for now.
	Unhealthy
	// Outdated means that the run was stopped or has ended there.
	Outdated
	// Refused means any other certain refusal.
	Refused
	// Unreached means that the order never left, as the worker can't be reached.
	Unreached
)

// StartAnswered takes in the result of a start.
func (e *Engine) StartAnswered(m *Member, result StartResult, now time.Time) {
	if m.State == Ended {
		return
	}
	if result == Accepted {
		m.startedAt = now
		if m.State == Ordered {
			e.started(m, now)
		}
		return
	}
	if result == Outdated && m.State == Started {
		return
	}
	if pause := e.cfg.Avoid[result]; pause > 0 {
		m.Worker.avoid(now.Add(pause))
	}
	e.endMember(m, Void, "", now)
}

func (w *Worker) avoid(until time.Time) {
	w.AvoidUntil = latest(w.AvoidUntil, until)
}

// StopAnswered notes that the worker has acknowledged the stop of a run.
func (e *Engine) StopAnswered(id, task string, run int, now time.Time) {
	w := e.workers[id]
	if w == nil {
		return
	}
	delete(w.voids, runKey{task, run})
	if m := w.members[runKey{task, run}]; m != nil && m.stoppedAt.IsZero() {
		m.stoppedAt = now
	}
}

// Cancel ends a job at its caller's wish.
func (e *Engine) Cancel(id string, now time.Time) {
	j := e.jobs[id]
	if j == nil || j.Cancelled {
		return
	}
	j.Cancelled = true
	if j.Record.Phase.Final() {
		return
	}
	e.finish(j, work.Cancelled, "cancelled", now)
}

// finish makes the job final and stops what runs of it.
func (e *Engine) finish(j *Job, phase work.Phase, why string, now time.Time) {
	j.Record.Phase, j.endedAt, j.urgent = phase, now, true
	e.touch(j)
	for _, s := range j.sets {
		e.dropClaim(s)
		if s.Run != nil {
			e.stopRun(s.Run, why, now)
		}
	}
	e.act(Note{Job: j.ID(), What: JobOver, Text: phase.String() + ": " + why})
}

// endMember takes in that a member is no longer alive.
func (e *Engine) endMember(m *Member, how How, saved string, now time.Time) {
	if m.State == Ended {
		return
	}
	run, s := m.Run, m.Run.Set
	if how == Lost && m.startedAt.IsZero() && m.State == Ordered && m.sent {
		m.Worker.voids[runKey{m.task, run.Number}] = true
	}
	m.State = Ended
	m.Worker.detach(m)
	run.alive--
	e.touch(s.Job)
	if saved != "" && how != Done && s.step().Checkpoints {
		s.record().Saved = saved
	}
	switch how {
	case Done:
		e.setDone(m, now)
		m.Worker.faults = nil
	case Failed:
		e.setFailed(s, m, now)
	default:
	}
	if how != Done && run.broken.IsZero() {
		run.broken = now
	}
	if how != Done && how != Stopped {
		e.act(Note{Job: s.Job.ID(), What: RunBroken, Worker: m.Worker.ID, Task: m.task, Run: run.Number, Text: how.String()})
	}
	if run.alive == 0 {
		e.closeRun(run, now)
	}
}

func (e *Engine) setDone(m *Member, now time.Time) {
	s := m.Run.Set
	rec := s.record()
	if rec.Done || s.step().Lasts {
		return
	}
	rec.Done = true
	j := s.Job
	e.act(Note{What: RunDone, Job: j.ID(), Worker: m.Worker.ID, Task: m.task, Run: m.Run.Number,
		Text: fmt.Sprintf("took %s, estimated %s", now.Sub(m.Run.Began).Round(time.Millisecond), s.step().Estimate.Round(time.Millisecond))})
	s.turn.left[s.Step]--
	if slices.ContainsFunc(j.turns, func(t *turn) bool { return !t.over() }) {
		return
	}
	if !j.Record.Phase.Final() {
		e.finish(j, work.Completed, "all tasks done", now)
	}
}

func (e *Engine) setFailed(s *Set, m *Member, now time.Time) {
	rec := s.record()
	if rec.FailedRun == m.Run.Number || rec.Done {
		return
	}
	rec.Failures++
	rec.FailedRun = m.Run.Number
	if !s.step().Lasts {
		// A set that may fail any number of times would run out of workers.
		s.soured = append(s.soured, m.Worker)
	}
	e.blame(m, now)
	j := s.Job
	if rec.Failures >= e.queue(j).MaxAttempts && !j.Record.Phase.Final() && !s.step().Lasts {
		e.finish(j, work.Failed, "a set failed as often as its queue allows", now)
	}
}

// blame keeps work off a worker after a failure, and for longer after failures of distinct sets.
func (e *Engine) blame(m *Member, now time.Time) {
	w := m.Worker
	if !slices.Contains(w.faults, m.Run.Set) {
		w.faults = append(w.faults, m.Run.Set)
	}
	pause := e.cfg.FirstFaultPause
	switch {
	case len(w.faults) >= e.cfg.FaultsBeforePause:
		pause = e.cfg.FaultPause
		w.faults = w.faults[:0]
	case !m.startedAt.IsZero() && now.Sub(m.startedAt) < e.cfg.FastFault:
		pause = e.cfg.FastFaultPause
	}
	w.avoid(now.Add(pause))
	e.act(Note{What: WorkerAvoided, Worker: w.ID, Job: m.Run.Set.Job.ID(), Text: "a task failed here; no new work for " + pause.String()})
}

// closeRun makes the set ready again unless it is done.
func (e *Engine) closeRun(run *Run, now time.Time) {
	s := run.Set
	s.Run = nil
	if !s.record().Done {
		s.turn.idle[s.Step]++
	}
	s.record().On, s.record().From = nil, ""
	s.readyAt = now
}

// stopRun asks for all members to be stopped.
func (e *Engine) stopRun(run *Run, why string, now time.Time) {
	if run.stopping == "" {
		run.stopping = why
		e.act(Note{Job: run.Set.Job.ID(), What: RunStopped, Run: run.Number, Text: why})
	}
	for _, m := range run.Members {
		switch {
		case m.State == Ended || m.stopSent:
		case m.State == Planned || m.State == Ordered && !m.sent:
			e.endMember(m, Void, "", now)
		default:
			m.stopSent = true
			e.act(StopOrder{Worker: m.Worker.ID, Task: m.task, Run: run.Number})
		}
	}
}
