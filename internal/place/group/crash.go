package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// crashWindow is how long before its worker's last sign of life a task may have started to be a suspect of the crash.
	crashWindow = time.Second
	// maxSuspectedCrashes is how many crashes a task may be a suspect of before its job fails.
	maxSuspectedCrashes = 2
	// maxCrashes is how many workers may crash under a task before its job fails, whether it is a suspect or not.
	maxCrashes = 4
)

// crashSuspects returns the members that may have caused a crash of the worker: those of the run on probation, if there is one,
// otherwise those that had started shortly before. Tasks that had run there for longer are less likely to be the cause.
func (w *Worker) crashSuspects() map[*Member]bool {
	suspects := make(map[*Member]bool)
	since := latest(w.answeredAt, w.startAckedAt).Add(-crashWindow)
	for _, m := range w.members {
		if w.onProbation() {
			suspects[m] = m.Run == w.probation
			continue
		}
		suspects[m] = !m.orderedAt.Before(since)
	}
	return suspects
}

// recordCrash counts a crash of the worker under a member that ran there, once for each run, and fails the job after too many.
// Only certain crashes count: what ran on a worker that is cut off may be sound.
func (e *Engine) recordCrash(m *Member, suspect bool, now time.Time) {
	rec := m.Run.Group.record()
	task := slices.Index(m.Run.Members, m)
	if rec.Done || rec.CrashesOf(task).Run == m.Run.Number {
		return
	}
	crashes := rec.AddCrash(task, m.Run.Number, suspect)
	j := m.Run.Group.Job
	e.markChanged(j)
	e.emit(Decision{
		Kind: WorkerCrashed, Job: j.ID(), Worker: m.Worker.ID, Task: m.task, Run: m.Run.Number, Crashes: crashes.Count, Suspected: crashes.Suspected,
	})
	if (crashes.Suspected >= maxSuspectedCrashes || crashes.Count >= maxCrashes) && !j.Record.Phase.Final() {
		e.finishJob(j, work.Failed, fmt.Sprintf("%d workers crashed under task %s", crashes.Count, m.task), now)
	}
}

// suspectLost makes a suspect of the group of a member that was lost soon after its start, or of which the start is not known,
// on a worker that may have crashed. No crash is counted, as it is not certain.
func (e *Engine) suspectLost(m *Member, suspect bool) {
	if m.Run.Group.mayCrash || !suspect || m.Worker.Draining {
		return
	}
	m.Run.Group.mayCrash = true
}

// SuspectedOfCrash reports whether the member's group may have crashed a worker. Its lease must outlast the time in which a
// machine is back after a crash, as only that shows the crash.
func (m *Member) SuspectedOfCrash() bool { return m.Run.Group.suspected() }

// suspected reports whether any task of the group may have crashed a worker and has not run for long enough since.
func (g *Group) suspected() bool {
	return g.mayCrash || slices.ContainsFunc(g.record().Crashes, func(c work.TaskCrashes) bool { return c.Suspected > 0 })
}

// beginProbation keeps all else off the workers of a suspected group's run until it has run for a while: a worker that crashes
// tells which of several suspects is the cause only if it ran one of them.
func (r *Run) beginProbation() {
	r.onProbation = true
	for _, m := range r.Members {
		m.Worker.probation = r
		m.Worker.open = false
	}
}

// onProbation reports whether the worker runs a task group that may have crashed another worker.
func (w *Worker) onProbation() bool {
	return w.probation != nil && w.probation.onProbation && w.probation.aliveMembers > 0
}

// endProbation clears the group of suspicion once its run has lasted longer than a suspect's.
func (e *Engine) endProbation(r *Run, now time.Time) {
	if !r.onProbation || !r.complete() {
		return
	}
	if slices.ContainsFunc(r.Members, func(m *Member) bool { return now.Sub(m.orderedAt) <= crashWindow }) {
		return
	}
	r.onProbation = false
	r.Group.mayCrash = false
	r.Group.record().ClearSuspicion()
	e.markChanged(r.Group.Job)
}
