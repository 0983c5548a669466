package judge

import (
	"fmt"
	"sort"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/trail"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
)

// standLimit is how long a job that could run may have nothing running.
const standLimit = 3 * time.Second

// Span is a time in which a job had nothing running though one of its tasks could run.
type Span struct {
	Job, Task string
	From, To  time.Time
	// Runs is how many runs of the task there had been.
	Runs int
}

// Watch looks for jobs that could run and have nothing running.
type Watch struct {
	open map[string]*Span
	// Spans are those that lasted as long as the rule allows, and are over.
	Spans []Span
}

// NewWatch returns a watch that has seen nothing.
func NewWatch() *Watch { return &Watch{open: make(map[string]*Span)} }

// Look takes one sample.
func (w *Watch) Look(now time.Time, v trail.View, rooms []worker.Room) {
	inUse := inUse(rooms)
	standing := make(map[string]*Span)
	if inUse < 0.5 {
		for _, j := range v.Jobs {
			if task, runs, ok := couldRun(v, j, rooms, now); ok {
				span := w.open[j.ID]
				if span == nil {
					span = &Span{Job: j.ID, From: now}
				}
				span.Task, span.To, span.Runs = task.String(), now, runs
				standing[j.ID] = span
			}
		}
	}
	for id, span := range w.open {
		if standing[id] == nil {
			w.close(span)
		}
	}
	w.open = standing
}

func (w *Watch) close(span *Span) {
	if span.To.Sub(span.From) >= standLimit {
		w.Spans = append(w.Spans, *span)
	}
}

// Close ends the watch.
func (w *Watch) Close() {
	for _, span := range w.open {
		w.close(span)
	}
	w.open = nil
	sort.Slice(w.Spans, func(i, j int) bool { return w.Spans[i].From.Before(w.Spans[j].From) })
}

// Findings returns the spans that break the rule: those that last too long after the time from which all must be at work.
func (w *Watch) Findings(from time.Time) []Finding {
	var list []Finding
	for _, span := range w.Spans {
		begin := span.From
		if begin.Before(from) {
			begin = from
		}
		if span.To.Sub(begin) >= standLimit {
			list = append(list, Finding{
				Rule: "LOST", Job: span.Job, At: begin,
				Text: fmt.Sprintf("it has nothing running for %s, and %s could run (%d runs so far)", span.To.Sub(span.From).Round(time.Millisecond),
					span.Task, span.Runs),
			})
		}
	}
	return list
}

// inUse returns the share of the service's cores or accelerators that is in use, whichever is larger.
func inUse(rooms []worker.Room) float64 {
	millis, allMillis, accelerators, allAccelerators := 0, 0, 0, 0
	for _, r := range rooms {
		if r.Up {
			millis, allMillis = millis+r.TotalMillis-r.MilliCores, allMillis+r.TotalMillis
			accelerators, allAccelerators = accelerators+r.TotalAccelerators-r.Accelerators, allAccelerators+r.TotalAccelerators
		}
	}
	return max(float64(millis)/float64(max(allMillis, 1)), float64(accelerators)/float64(max(allAccelerators, 1)))
}

// couldRun returns a task whose turn has come and that has room for it twice, if the job has nothing running.
func couldRun(v trail.View, j *trail.Job, rooms []worker.Room, now time.Time) (trail.TaskID, int, bool) {
	if j.Accepted.IsZero() || !j.CancelSent.IsZero() || j.State == "failed" || j.State == "completed" {
		return trail.TaskID{}, 0, false
	}
	none := trail.TaskID{}
	done := make([]bool, len(j.Steps))
	waiting, runs := none, 0
	for n, step := range j.Steps {
		done[n] = true
		ready := true
		for _, before := range step.After {
			ready = ready && done[before]
		}
		for i := range step.Work {
			t := trail.TaskID{Job: j.ID, Step: n, Index: i}
			taskDone := false
			for _, r := range v.Runs[t] {
				if r.Running() {
					return none, 0, false
				}
				taskDone = taskDone || r.How == trail.Done
			}
			if taskDone && step.Gang {
				done[n] = true
				break
			}
			done[n] = done[n] && taskDone
			if !taskDone && ready && waiting == none && hasRoom(rooms, j, n) {
				waiting, runs = t, len(v.Runs[t])
			}
		}
		if waiting.Step == n && done[n] {
			waiting = none
		}
		if failedRuns(v, j, n, now) >= j.MaxAttempts {
			return none, 0, false
		}
	}
	return waiting, runs, waiting != none
}

// hasRoom reports whether there is room for a task of the step twice over, or for the whole of a gang.
func hasRoom(rooms []worker.Room, j *trail.Job, n int) bool {
	step := j.Steps[n]
	need := 2
	if step.Gang {
		need = 2 * len(step.Work)
	}
	for _, r := range rooms {
		if r.Up && !r.Draining {
			need -= min(r.MilliCores/max(step.MilliCores, 1), r.MemMB/max(step.MemMB, 1), r.Accelerators/max(step.Accelerators, 1))
		}
	}
	return need <= 0
}
