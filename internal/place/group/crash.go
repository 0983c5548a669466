package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// crashWindow is how long before its worker's last sign of life a task may have started to be a suspect of the crash, and
	// how long a suspect must run to be cleared.
	crashWindow = time.Second
	// blameWindow is how long before a crash a task may have started for the crash to count against it.
	blameWindow = 150 * time.Millisecond
	// maxSuspectedCrashes is how many crashes may count against a task before its job fails, or before its runs are delayed if it is
	// long-running.
	maxSuspectedCrashes = 2
	// maxCrashes is the same for all crashes under a task that had not run for crashClearedAfter.
	maxCrashes = 4
	// maxUnheard is for how long exits may have gone unheard before a crash for it to be certain that a task was alive.
	maxUnheard = 100 * time.Millisecond
)

// crashEvidence is what a crash of its worker says of a member.
type crashEvidence struct {
	// certain is true if the member was alive on the worker as it crashed: it was not being stopped, and its exit would have
	// been heard.
	certain bool
	// suspect is true if the member may have caused the crash, blamed if it is likely enough to count.
	suspect bool
	blamed  bool
}

// crashEvidence returns what a crash of the worker says of its members. Suspects are those of the run on probation, if there
// is one, otherwise those that had started shortly before: tasks that had run there for longer are less likely to be the cause.
func (w *Worker) crashEvidence() map[*Member]crashEvidence {
	evidence := make(map[*Member]crashEvidence)
	since := latest(w.answeredAt, w.startAckedAt).Add(-crashWindow)
	heard := w.failedPollSentAt.After(w.answeredAt) && w.unheard <= maxUnheard && !w.moreExits
	for _, m := range w.members {
		suspect := !m.orderedAt.Before(since)
		if w.onProbation() {
			suspect = m.Run == w.probation
		}
		evidence[m] = crashEvidence{
			certain: heard && m.State == Started && !m.stopSent && !w.Draining, suspect: suspect && !w.Draining,
			blamed: suspect && w.brokenAt.Sub(m.startAckedAt) <= blameWindow,
		}
	}
	return evidence
}

// recordCrash counts a crash of the worker under a member that ran there, once for each run, and fails the job after too many.
// If it is not certain that the member was alive, nothing is counted, but its group may be suspected.
func (e *Engine) recordCrash(m *Member, evidence crashEvidence, now time.Time) {
	rec := m.Run.Group.record()
	task := slices.Index(m.Run.Members, m)
	if rec.Done || rec.CrashesOf(task).Run == m.Run.Number {
		return
	}
	j := m.Run.Group.Job
	if evidence.suspect && !rec.MayCrash {
		rec.MayCrash = true
		e.markGroupChanged(m.Run.Group)
	}
	if !evidence.certain {
		return
	}
	if !e.crashTells(m, evidence, now) {
		rec.PassOverCrash(task, m.Run.Number, m.ranLong(now))
		e.markGroupChanged(m.Run.Group)
		return
	}
	crashes := rec.AddCrash(task, m.Run.Number, evidence.blamed)
	e.markGroupChanged(m.Run.Group)
	e.emit(Decision{
		Kind: WorkerCrashed, Job: j.ID(), Worker: m.Worker.ID, Task: m.task, Run: m.Run.Number, Crashes: crashes.Count, Suspected: crashes.Suspected,
	})
	switch tooMany := crashes.Suspected >= maxSuspectedCrashes || crashes.Count >= maxCrashes; {
	case !tooMany || j.Record.Phase.Final():
	case m.Run.Group.step().LongRunning:
		e.restartAfterCrash(m.Run.Group, now)
	default:
		e.finishJob(j, work.Failed, fmt.Sprintf("%d workers crashed under task %s", crashes.Count, m.task), now)
	}
}

// SuspectedOfCrash reports whether the member's group may have crashed a worker. Its lease must outlast the time in which a
// machine is back after a crash, as only that shows the crash.
func (m *Member) SuspectedOfCrash() bool { return m.Run.Group.suspected() }

// suspected reports whether a task of the group may have crashed a worker and the group has not run for long enough since.
func (g *Group) suspected() bool { return g.record().MayCrash }

// beginProbation keeps all else off the workers of a suspected group's run until it has run for a while: a worker that crashes
// tells which of several suspects is the cause only if it ran one of them.
func (r *Run) beginProbation() {
	r.onProbation = true
	for _, m := range r.Members {
		m.Worker.probation = r
		m.Worker.open = false
	}
}

// probationSince returns when the member's probation began: when its start was ordered, or when this owner loaded the run.
func (m *Member) probationSince() time.Time { return latest(m.orderedAt, m.Run.PlannedAt) }

// onProbation reports whether the worker runs a task group that may have crashed another worker.
func (w *Worker) onProbation() bool {
	return w.probation != nil && w.probation.onProbation && w.probation.aliveMembers > 0
}

// endProbation clears the group of suspicion once its run has lasted longer than a suspect's.
func (e *Engine) endProbation(r *Run, now time.Time) {
	if !r.onProbation || !r.complete() {
		return
	}
	if slices.ContainsFunc(r.Members, func(m *Member) bool { return now.Sub(m.probationSince()) <= crashWindow }) {
		return
	}
	r.onProbation = false
	r.Group.record().ClearSuspicion()
	e.markGroupChanged(r.Group)
}
