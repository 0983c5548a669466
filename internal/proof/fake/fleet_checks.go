package fake

import (
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
)

// Breach is one rule that was broken.
type Breach struct {
	Rule string
	Task string
	Text string
}

// exitID identifies one exit on one incarnation.
type exitID struct {
	at     *incarnation
	number int64
}

// fleetChecks is what the checks of a Fleet remember.
type fleetChecks struct {
	breaches []Breach
	// lastStart is when a task was last started, doneAcknowledged the tasks with an acknowledged exit as done.
	lastStart        map[string]time.Time
	doneAcknowledged map[string]bool
	// crashes counts the workers that have crashed under each task.
	crashes map[string]int
	// endedAt has the exits since the last expiry of the lease, as later acknowledgements of earlier ones count for nothing.
	endedAt map[exitID]time.Time
}

func newFleetChecks() fleetChecks {
	return fleetChecks{
		lastStart: make(map[string]time.Time), doneAcknowledged: make(map[string]bool), endedAt: make(map[exitID]time.Time), crashes: make(map[string]int),
	}
}

// Breaches returns the rules that were broken so far.
func (f *Fleet) Breaches() []Breach {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Breach(nil), f.checks.breaches...)
}

// CrashesUnder counts the workers that have crashed under the task.
func (f *Fleet) CrashesUnder(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checks.crashes[task]
}

// breach records a broken rule. The caller holds f.mu.
func (f *Fleet) breach(rule, task, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.checks.breaches = append(f.checks.breaches, Breach{Rule: rule, Task: task, Text: text})
	f.note("%s broken by %s: %s", rule, task, text)
}

// checkStart checks a run that begins at the incarnation. The caller holds f.mu.
func (f *Fleet) checkStart(at *incarnation, run runID, need group.Resources) {
	f.checks.lastStart[run.task] = time.Now()
	if f.checks.doneAcknowledged[run.task] {
		f.breach("TWICE", run.task, "run %d begins on %s after an acknowledged exit as done", run.run, at.worker.id)
	}
	for _, id := range f.ids {
		if other := f.workers[id].current; other != nil && other.runs(run.task) {
			f.breach("TWICE", run.task, "run %d begins on %s while another runs on %s", run.run, at.worker.id, id)
		}
	}
	free := f.cfg.Capacity.Sub(need)
	for other := range at.running {
		free = free.Sub(f.cfg.Task(other.task).Need)
	}
	if free.MilliCores < 0 || free.MemoryMB < 0 || free.Accelerators < 0 {
		f.breach("LIMIT", run.task, "run %d brings %s over its capacity: %+v", run.run, at.worker.id, free)
	}
}

// ended remembers when an exit was listed first.
func (c *fleetChecks) ended(at *incarnation, number int64, now time.Time) {
	c.endedAt[exitID{at, number}] = now
}

// lapsed forgets the exits of the incarnation from before its lease expired.
func (c *fleetChecks) lapsed(at *incarnation) {
	for _, entry := range at.finished {
		delete(c.endedAt, exitID{at, entry.Number})
	}
}

// acknowledge forgets exits and checks that none of the tasks that were done has run again. The caller holds f.mu.
func (f *Fleet) acknowledge(at *incarnation, number int64) {
	for _, entry := range at.forget(number) {
		endedAt, counts := f.checks.endedAt[exitID{at, entry.Number}]
		if entry.Status != group.Done || !counts {
			continue
		}
		f.note("%s/%d forgets exit %d of %s run %d", at.worker.id, at.number, entry.Number, entry.Task, entry.Run)
		f.checkDone(at, entry.Task, endedAt)
		for _, member := range f.cfg.Task(entry.Task).Gang {
			// The end of one member represents the whole gang.
			f.checkDone(at, member, endedAt)
		}
	}
}

// checkDone checks that a task has not begun since it ended as done, which is acknowledged now. The caller holds f.mu.
func (f *Fleet) checkDone(at *incarnation, task string, endedAt time.Time) {
	if !f.checks.doneAcknowledged[task] && f.checks.lastStart[task].After(endedAt) {
		f.breach("TWICE", task, "an exit as done on %s is acknowledged after the task was started again", at.worker.id)
	}
	f.checks.doneAcknowledged[task] = true
}
