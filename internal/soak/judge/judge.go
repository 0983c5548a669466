package judge

import (
	"fmt"
	"sort"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/trail"
)

// Finding is one breach of a rule.
type Finding struct {
	Rule, Job, Text string
	At              time.Time
}

// Calm reports whether nothing was disrupted between two times.
type Calm func(from, to time.Time) bool

// visible is how long an accepted job may be unknown to other instances.
const visible = 3 * time.Second

// judgement collects the findings of one day.
type judgement struct {
	site     site.Site
	calm     Calm
	view     trail.View
	jobs     map[string]*trail.Job
	done     map[trail.TaskID]time.Time
	findings []Finding
}

// Judge returns the breaches in all that was seen.
func Judge(v trail.View, s site.Site, calm Calm) []Finding {
	g := &judgement{site: s, calm: calm, view: v, jobs: make(map[string]*trail.Job), done: doneAt(v)}
	for _, j := range v.Jobs {
		g.jobs[j.ID] = j
	}
	for _, text := range v.Unasked {
		g.add("UNASKED", "", time.Time{}, "%s", text)
	}
	for task, runs := range v.Runs {
		g.task(task, g.jobs[task.Job], runs)
	}
	for _, shown := range v.Shown {
		g.shown(g.jobs[shown.Job], shown)
	}
	sort.SliceStable(g.findings, func(i, j int) bool { return g.findings[i].At.Before(g.findings[j].At) })
	return g.findings
}

func (g *judgement) add(rule, job string, at time.Time, format string, args ...any) {
	g.findings = append(g.findings, Finding{Rule: rule, Job: job, At: at, Text: fmt.Sprintf(format, args...)})
}

// doneAt returns when each task was first done; the end of one member of a gang counts for all.
func doneAt(v trail.View) map[trail.TaskID]time.Time {
	done := make(map[trail.TaskID]time.Time)
	mark := func(t trail.TaskID, at time.Time) {
		if old, ok := done[t]; !ok || at.Before(old) {
			done[t] = at
		}
	}
	for _, j := range v.Jobs {
		for n := range j.Steps {
			for i := range j.Steps[n].Work {
				t := trail.TaskID{Job: j.ID, Step: n, Index: i}
				for _, r := range v.Runs[t] {
					if r.How != trail.Done {
						continue
					}
					mark(t, r.Ended)
					for k := 0; j.Steps[n].Gang && k < len(j.Steps[n].Work); k++ {
						mark(trail.TaskID{Job: j.ID, Step: n, Index: k}, r.Ended)
					}
				}
			}
		}
	}
	return done
}

// counts reports whether an end counts as acknowledged by the given time.
func counts(r *trail.Run, by time.Time) bool {
	return !r.Acked.IsZero() && !r.LapsedBeforeAck && !r.Acked.After(by)
}

func (g *judgement) task(t trail.TaskID, j *trail.Job, runs []*trail.Run) {
	for i, r := range runs {
		g.start(t, j, r)
		failed := 0
		for k, other := range runs {
			if k == i || other.Began.After(r.Began) || other.Began.Equal(r.Began) && k > i {
				continue
			}
			if other.Running() || other.Ended.After(r.Began) {
				g.add("TWICE", j.ID, r.Began, "%s run %d starts on %s while run %d is at work on %s", t, r.Number, r.Worker, other.Number, other.Worker)
			}
			if other.How == trail.Done && other.Ended.Before(r.Began) && !other.Acked.IsZero() && !other.LapsedBeforeAck {
				g.add("TWICE", j.ID, r.Began, "%s run %d starts on %s, %s after run %d was done on %s (acknowledged)", t, r.Number, r.Worker,
					r.Began.Sub(other.Ended), other.Number, other.Worker)
			}
			if other.How == trail.Failed && counts(other, r.Began) {
				failed++
			}
		}
		if failed >= j.MaxAttempts {
			g.add("BUDGET", j.ID, r.Began, "%s run %d starts on %s after %d failed runs of %d", t, r.Number, r.Worker, failed, j.MaxAttempts)
		}
	}
}

// start judges a start by itself.
func (g *judgement) start(t trail.TaskID, j *trail.Job, r *trail.Run) {
	if r.WrongPayload {
		g.add("UNASKED", j.ID, r.Began, "%s run %d starts with another payload or checkpoint (%q)", t, r.Number, r.Checkpoint)
	}
	if r.Excess {
		g.add("LIMIT", j.ID, r.Began, "%s run %d brings %s over its capacity", t, r.Number, r.Worker)
	}
	if j.Accepted.IsZero() && j.Rejected > 0 && j.Unanswered == 0 {
		g.add("REFUSED", j.ID, r.Began, "%s run %d starts, and all %d attempts were rejected", t, r.Number, j.Rejected)
	}
	if limit := j.CancelAccepted.Add(g.site.Cancel); !j.CancelAccepted.IsZero() && r.Began.After(limit) && !r.Late && g.calm(j.CancelAccepted, r.Began) {
		g.add("UNASKED", j.ID, r.Began, "%s run %d starts %s after the cancelling", t, r.Number, r.Began.Sub(j.CancelAccepted))
	}
	for _, n := range j.Steps[t.Step].After {
		for i := range j.Steps[n].Work {
			before := trail.TaskID{Job: j.ID, Step: n, Index: i}
			if at, ok := g.done[before]; !ok || at.After(r.Began) {
				g.add("ORDER", j.ID, r.Began, "%s run %d starts before %s is done", t, r.Number, before)
				break
			}
		}
	}
}

// shown judges a state that a caller was shown.
func (g *judgement) shown(j *trail.Job, s trail.Shown) {
	cancelled := !j.CancelSent.IsZero() && j.CancelSent.Before(s.At)
	switch {
	case s.Status == 410 && !cancelled && !j.Accepted.IsZero() && s.At.After(j.Accepted.Add(visible)):
		g.add("LOST", j.ID, s.At, "a job accepted %s before is not known", s.At.Sub(j.Accepted))
	case s.State == "canceled" && !cancelled:
		g.add("LOST", j.ID, s.At, "it is shown as canceled, and nobody has cancelled it")
	case s.State == "failed" && !g.hopeless(j, s.At):
		g.add("LOST", j.ID, s.At, "it is shown as failed without %d failed runs of a task", j.MaxAttempts)
	case s.State == "completed":
		if t, ok := g.notDone(j, s.At); ok {
			g.add("MIXED", j.ID, s.At, "it is shown as completed, and %s is not done", t)
		}
	}
}

func (g *judgement) hopeless(j *trail.Job, by time.Time) bool {
	for n := range j.Steps {
		if failedRuns(g.view, j, n, by) >= j.MaxAttempts {
			return true
		}
	}
	return false
}

// failedRuns returns how often the task of a step that failed most has failed, or its gang.
func failedRuns(v trail.View, j *trail.Job, step int, by time.Time) int {
	most := 0
	ofGang := make(map[int]bool)
	for i := range j.Steps[step].Work {
		failed := 0
		for _, r := range v.Runs[trail.TaskID{Job: j.ID, Step: step, Index: i}] {
			if r.How == trail.Failed && !r.Ended.After(by) {
				failed++
				ofGang[r.Number] = true
			}
		}
		most = max(most, failed)
	}
	if j.Steps[step].Gang {
		return len(ofGang)
	}
	return most
}

func (g *judgement) notDone(j *trail.Job, by time.Time) (trail.TaskID, bool) {
	for n := range j.Steps {
		for i := range j.Steps[n].Work {
			t := trail.TaskID{Job: j.ID, Step: n, Index: i}
			if at, ok := g.done[t]; !ok || at.After(by) {
				return t, true
			}
		}
	}
	return trail.TaskID{}, false
}
