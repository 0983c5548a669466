package world

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Job is a job that is submitted, and how its tasks behave.
type Job struct {
	Spec *work.Spec
	At   time.Duration
	// Durations are how long the tasks of each step run.
	Durations []time.Duration
	// FailingRuns is how many runs of each task end as failed.
	FailingRuns int
	// CrashAfter is how long after its start the first task of the job crashes its worker; zero if it does not.
	CrashAfter time.Duration
}

// task is how one task behaves.
type task struct {
	job      *Job
	step     int
	need     group.Resources
	duration time.Duration
	// gang has the names of all tasks of the task's gang; it is empty for a single task.
	gang       []string
	crashAfter time.Duration
}

// run is one run of a task on a worker.
type run struct {
	on     *worker
	task   string
	number int
	began  time.Time
	// worksSince is when the run began to work; members of a gang wait for the others.
	worksSince time.Time
	stopping   bool
	// late is true if the start was executed late; reported is true once its run was reported as unasked.
	late     bool
	reported bool
}

// taskName is the name of a task of a job that does not repeat.
func taskName(job string, step, n int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, n) }

// addTasks adds the tasks of a job.
func (w *World) addTasks(j *Job) {
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		var gang []string
		for n := range step.Count {
			gang = append(gang, taskName(j.Spec.Job, i, n))
		}
		for n, name := range gang {
			t := &task{job: j, step: i, need: group.Resources{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}, duration: j.Durations[i]}
			if step.Gang {
				t.gang = gang
			}
			if n == 0 && i == 0 {
				t.crashAfter = j.CrashAfter
			}
			w.tasks[name] = t
		}
	}
}

// begins starts a run.
func (w *World) begins(o *worker, c *call, start agent.Start, now time.Time) {
	r := &run{on: o, task: start.Task, number: start.Run, began: now, late: w.cfg.Faults[c.step] == Late || w.cfg.Faults[c.step] == KilledLate}
	w.notef("%s starts %s/%d", o.ID, r.task, r.number)
	w.checkStart(r, now)
	o.runs = append(o.runs, r)
	t := w.tasks[r.task]
	if t.crashAfter != 0 {
		w.schedule(now.Add(t.crashAfter), func(now time.Time) {
			if r.alive() {
				o.crash(crashDown, now)
			}
		})
	}
	if len(t.gang) == 0 {
		w.works(r, now)
		return
	}
	w.endAloneAfter(r, now)
	members := w.members(t.gang, r.number)
	if len(members) == len(t.gang) {
		for _, m := range members {
			w.works(m, now)
		}
	}
}

// crashDown is how long a worker is down after a crash that one of its tasks caused.
const crashDown = 400 * time.Millisecond

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

func (w *World) endAloneAfter(r *run, now time.Time) {
	w.schedule(now.Add(gangTimeout), func(now time.Time) {
		if r.alive() && r.worksSince.IsZero() {
			w.end(r, group.Alone, now)
		}
	})
}

// works lets the run work until it ends.
func (w *World) works(r *run, now time.Time) {
	t := w.tasks[r.task]
	r.worksSince = now
	status := group.Done
	if w.checks.task(r.task).failed < t.job.FailingRuns {
		status = group.Failed
	}
	w.endAfter(r, t.duration, status, now)
}

// endAfter lets the run end after the delay if it still runs then.
func (w *World) endAfter(r *run, delay time.Duration, status group.ExitStatus, now time.Time) {
	w.schedule(now.Add(delay), func(now time.Time) {
		if r.alive() {
			w.end(r, status, now)
		}
	})
}

// alive reports whether the run is running.
func (r *run) alive() bool { return slices.Contains(r.on.runs, r) }

// percent is the progress of the run.
func (r *run) percent(now time.Time) int {
	if r.worksSince.IsZero() {
		return 0
	}
	return min(int(100*now.Sub(r.worksSince)/r.on.world.tasks[r.task].duration), 99)
}

// members returns the members of a gang that run with the run number.
func (w *World) members(gang []string, number int) (list []*run) {
	for _, o := range w.workers {
		for _, r := range o.runs {
			if r.number == number && slices.Contains(gang, r.task) {
				list = append(list, r)
			}
		}
	}
	return list
}

// end ends a run that is running.
func (w *World) end(r *run, status group.ExitStatus, now time.Time) {
	o := r.on
	o.runs = slices.DeleteFunc(o.runs, func(other *run) bool { return other == r })
	o.highest[r.task] = max(o.highest[r.task], r.number)
	o.lastExit++
	o.exits = append(o.exits, group.ExitEntry{Number: o.lastExit, Task: r.task, Run: r.number, Status: status})
	w.notef("%s ends %s/%d as %s, exit %d", o.ID, r.task, r.number, status, o.lastExit)
	w.checkExit(r, status, now)
	if status != group.Done {
		w.breakGang(r, now)
	}
	o.answerPolls(slices.Clone(o.polls), now)
}

// breakDelay is how long after one member of a gang the others end.
const breakDelay = 50 * time.Millisecond

// breakGang ends the other members of a gang at work after one of them has ended without success.
func (w *World) breakGang(r *run, now time.Time) {
	if r.worksSince.IsZero() {
		return
	}
	for _, m := range w.members(w.tasks[r.task].gang, r.number) {
		w.endAfter(m, breakDelay, group.Broken, now)
	}
}

// running counts the tasks that run.
func (w *World) running() (count int) {
	for _, o := range w.workers {
		count += len(o.runs)
	}
	return count
}

// unacknowledged counts the exits that workers still list.
func (w *World) unacknowledged() (count int) {
	for _, o := range w.workers {
		count += len(o.exits)
	}
	return count
}
