package worker

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/trail"
)

func key(task string, number int) string { return task + "/" + strconv.Itoa(number) }

// begin starts a run, or returns why it was refused; the lock is held.
func (w *Worker) begin(b *orderBody, now time.Time, late bool) string {
	if w.running[key(b.Task, b.Run)] != nil {
		w.extend(b.Deadline, now)
		return ""
	}
	if b.Run <= w.highest[b.Task] {
		w.extend(b.Deadline, now)
		return "old"
	}
	if b.Deadline <= w.clock(now) {
		return "late"
	}
	task, err := trail.ParseTask(b.Task)
	if err != nil {
		return "old"
	}
	job := w.place.Trail.Job(task.Job)
	if job == nil || !job.Has(task) {
		w.place.Trail.Unasked(now, w.id, b.Task)
		return "old"
	}
	w.extend(b.Deadline, now)
	r := &run{
		job: job, step: &job.Steps[task.Step], began: now, work: job.Steps[task.Step].Work[task.Index],
		seen: &trail.Run{
			Task: task, Number: b.Run, Worker: w.id, Began: now, Checkpoint: b.Checkpoint, Token: b.Token, WrongPayload: b.Payload != job.Payload,
			Late: late,
		},
	}
	if b.Checkpoint != "" {
		base, ok := parseCheckpoint(b.Checkpoint, task)
		r.seen.WrongPayload = r.seen.WrongPayload || !ok || !r.step.Checkpoints
		r.base = base
	}
	w.running[key(b.Task, b.Run)] = r
	r.seen.Excess = w.excess()
	w.place.Trail.Began(r.seen)
	w.addPlantedExit(r)
	delay := time.Duration(0)
	if r.base > 0 {
		delay = w.place.Site.Restore
	}
	if r.step.Gang && len(r.step.Work) > 1 {
		w.place.Gangs.join(w, r, now)
		return ""
	}
	r.working = true
	how, remaining := w.outcome(r)
	r.timer = time.AfterFunc(delay+remaining, func() { w.finish(r, how) })
	return ""
}

// outcome returns how a run will end, and when, if nothing else ends it first.
func (w *Worker) outcome(r *run) (string, time.Duration) {
	remaining := max(r.work-r.base, time.Millisecond)
	if w.behavior.Fails || failsBy(r.seen.Task, r.seen.Number, r.step.FailShare) {
		return trail.Failed, time.Duration(draw(r.seen.Task, r.seen.Number, "time") * float64(remaining))
	}
	if w.place.Planted.RunOn {
		remaining *= 2
	}
	return trail.Done, remaining
}

// failsBy reports whether the run fails by itself.
func failsBy(task trail.TaskID, number int, share float64) bool {
	return draw(task, number, "") < share
}

// draw returns a number from 0 to 1 that depends on the task and the run alone, so that a day plays alike wherever a task runs.
func draw(task trail.TaskID, number int, what string) float64 {
	sum := fnv.New32a()
	fmt.Fprintf(sum, "%s/%d%s", task, number, what)
	return float64(sum.Sum32()%100000) / 100000
}

// excess reports whether more runs than there is room for.
func (w *Worker) excess() bool {
	millis, mem, accelerators := 0, 0, 0
	for _, r := range w.running {
		millis += r.step.MilliCores
		mem += r.step.MemMB
		accelerators += r.step.Accelerators
	}
	return millis > w.millis || mem > w.mem || accelerators > w.accelerators
}

// halt begins to stop a run; the lock is held.
func (w *Worker) halt(b *orderBody) {
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	r := w.running[key(b.Task, b.Run)]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(w.place.Site.StopTimeout/4, func() { w.finish(r, trail.Stopped) })
}

// finish ends a run from outside the worker's lock.
func (w *Worker) finish(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(r, time.Now(), how)
}

// end ends a run, unless it has ended or its life is over; the lock is held.
func (w *Worker) end(r *run, now time.Time, how string) {
	name := key(r.seen.Task.String(), r.seen.Number)
	// A worker that is cut off does not hear that its gang is broken.
	if !w.up || w.running[name] != r || w.registryCut && how == trail.Broken {
		return
	}
	delete(w.running, name)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.highest[r.seen.Task.String()] = max(w.highest[r.seen.Task.String()], r.seen.Number)
	w.lastExit++
	w.exits = append(w.exits, exit{w.lastExit, r, how, r.saved(now, how == trail.Stopped, w.place.Site.CheckpointEvery)})
	w.place.Trail.Ended(r.seen, now, how)
	close(w.changed)
	w.changed = make(chan struct{})
	if r.gang != nil && how != trail.Done {
		go r.gang.left(r, now)
	}
}

// saved returns the newest checkpoint, one for each interval of work and one at a stop.
func (r *run) saved(now time.Time, atStop bool, every time.Duration) string {
	if !r.step.Checkpoints {
		return ""
	}
	progress := r.base
	if r.working {
		progress += now.Sub(r.began)
	}
	if !atStop {
		progress = max(progress.Truncate(every), r.base)
	}
	if progress < every {
		return ""
	}
	return checkpoint(r.seen.Task, min(progress, r.work))
}

func checkpoint(task trail.TaskID, progress time.Duration) string {
	return fmt.Sprintf("%s.%d-%d", task.Job, task.Step, progress.Milliseconds())
}

// parseCheckpoint returns the progress in a checkpoint, and false if it is another step's.
func parseCheckpoint(text string, task trail.TaskID) (time.Duration, bool) {
	digits, ok := strings.CutPrefix(text, fmt.Sprintf("%s.%d-", task.Job, task.Step))
	ms, err := strconv.Atoi(digits)
	return time.Duration(ms) * time.Millisecond, ok && err == nil
}

// addPlantedExit lists a false end of a run that begins, if that is planted; the lock is held.
func (w *Worker) addPlantedExit(r *run) {
	how := trail.Done
	switch {
	case w.place.Planted.Disown:
		how = trail.Failed
	case !w.place.Planted.Hasty:
		return
	}
	w.lastExit++
	w.exits = append(w.exits, exit{w.lastExit, r, how, ""})
}
