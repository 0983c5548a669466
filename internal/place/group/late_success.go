package group

import (
	"strconv"
	"strings"
	"time"
)

// applyLateSuccess marks the task group of a task as done whose run was given up before its worker listed the end, and stops a
// later run. A lease that has expired shows that a run can't go on, but not that it had not ended before. It returns the job,
// or nil if the end changes nothing.
func (e *Engine) applyLateSuccess(w *Worker, entry ExitEntry, now time.Time) *Job {
	g := e.groupOf(entry.Task)
	if g == nil || entry.Run > g.record().Run || g.record().Done || g.step().LongRunning || g.Job.Record.Phase.Final() {
		return nil
	}
	e.dropReservation(g)
	if g.Run == nil {
		g.occ.withoutRun[g.Step]--
	}
	e.markGroupChanged(g)
	e.recordDone(g, Decision{Worker: w.ID, Task: entry.Task, Run: entry.Run, Text: "the end was listed after the run had been given up"}, now)
	if g.Run != nil {
		e.stopRun(g.Run, JobFinished, "an earlier run of the task has ended as done", now)
	}
	return g.Job
}

// groupOf returns the task group of a task by its name, as taskName makes it, or nil if this owner has none.
func (e *Engine) groupOf(task string) *Group {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	j := e.jobs[parts[0]]
	if j == nil {
		return nil
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return nil
		}
		numbers[i] = number
	}
	if numbers[0] >= len(j.occurrences) || numbers[1] >= len(j.Spec.Steps) || numbers[2] >= j.Spec.Steps[numbers[1]].Count {
		return nil
	}
	groups := j.occurrences[numbers[0]].steps[numbers[1]]
	if j.Spec.Steps[numbers[1]].Gang {
		return groups[0]
	}
	return groups[numbers[2]]
}
