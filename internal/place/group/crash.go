package group

import (
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// crashWindow is how long before its worker's last sign of life a task may have started to be a suspect of the crash.
	crashWindow = 500 * time.Millisecond
	// maxSuspectedCrashes is how many crashes a task group may be a suspect of before its job fails.
	maxSuspectedCrashes = 2
	// maxCrashes is how many workers may crash under a task group before its job fails, whether it is a suspect or not.
	maxCrashes = 4
)

// lastAlive is when the worker last answered a poll or acknowledged a start.
func (w *Worker) lastAlive() time.Time { return latest(w.answeredAt, w.startAckedAt) }

// suspectOfCrash reports whether the member started shortly before its worker, last alive at the given time, crashed. Tasks
// that had run there for longer are less likely to be the cause.
func (m *Member) suspectOfCrash(lastAlive time.Time) bool {
	return !m.orderedAt.Before(lastAlive.Add(-crashWindow))
}

// recordCrash counts a crash of the worker under a member that ran there, once for each run, and fails the job after too many.
// Only certain crashes count: what ran on a worker that is cut off may be sound.
func (e *Engine) recordCrash(m *Member, suspect bool, now time.Time) {
	g := m.Run.Group
	rec := g.record()
	if rec.CrashedRun == m.Run.Number || rec.Done {
		return
	}
	rec.CrashedRun = m.Run.Number
	rec.Crashes++
	if suspect {
		rec.SuspectedCrashes++
	}
	j := g.Job
	e.markChanged(j)
	e.emit(Decision{
		Kind: WorkerCrashed, Job: j.ID(), Worker: m.Worker.ID, Task: m.task, Run: m.Run.Number, Crashes: rec.Crashes, Suspected: rec.SuspectedCrashes,
	})
	if (rec.SuspectedCrashes >= maxSuspectedCrashes || rec.Crashes >= maxCrashes) && !j.Record.Phase.Final() {
		e.finishJob(j, work.Failed, fmt.Sprintf("%d workers crashed under task %s", rec.Crashes, m.task), now)
	}
}
