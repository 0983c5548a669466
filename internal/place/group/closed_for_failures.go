package group

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxClosedShare is the share of a service's workers that may be closed at once for failures, rounded up. Up to 15 percent of the
	// workers fail all that they start at the same time; failures on more than a quarter say more about the tasks.
	maxClosedShare = 0.25
	// failureMemory is for how long a job's failure on a worker is compared with those on others: twice the longest time for which
	// workers fail all that they start.
	failureMemory = 16 * time.Second
	// soundAfter is how long a task must have run for its worker to count as one on which its job does not fail; faulty workers fail
	// tasks within a few hundred milliseconds.
	soundAfter = time.Second
)

// failureClosure is what failures say against a worker, and until when it is closed for them.
type failureClosure struct {
	// groups are the distinct task groups that failed since the last success or long pause.
	groups []*Group
	// jobs has for each job when a task of it last failed here.
	jobs map[*Job]time.Time
	// until is when the pause ends; longSince is when the last one of Config.RepeatedFailurePause began.
	until     time.Time
	longSince time.Time
	// exempt is true if the worker stays open in spite of the pause, as the last decision found the evidence too weak.
	exempt bool
}

// outcome is the last end of a job's tasks on a worker.
type outcome struct {
	at     time.Time
	failed bool
}

// note records a failure of the task group.
func (c *failureClosure) note(g *Group, now time.Time) {
	if !slices.Contains(c.groups, g) {
		c.groups = append(c.groups, g)
	}
	if c.jobs == nil {
		c.jobs = make(map[*Job]time.Time)
	}
	c.jobs[g.Job] = now
}

// closedForFailures reports whether the worker gets no new tasks after failures.
func (w *Worker) closedForFailures(now time.Time) bool {
	return now.Before(w.failures.until) && !w.failures.exempt
}

// avoidedUntil is when the worker gets new tasks again after failures, refusals or slowness.
func (w *Worker) avoidedUntil(now time.Time) time.Time {
	if w.closedForFailures(now) {
		return latest(w.AvoidUntil, w.failures.until)
	}
	return w.AvoidUntil
}

// Avoided reports whether the worker gets no new tasks for now after failures, refusals or slowness, apart from those of overdue groups.
func (e *Engine) Avoided(w *Worker, now time.Time) bool { return now.Before(w.avoidedUntil(now)) }

// noteOutcome records how a task of the job ended on the worker, and drops what is older than failureMemory.
func (j *Job) noteOutcome(w *Worker, failed bool, now time.Time) {
	for other, o := range j.outcomes {
		if now.Sub(o.at) > failureMemory {
			delete(j.outcomes, other)
		}
	}
	if j.outcomes == nil {
		j.outcomes = make(map[*Worker]outcome)
	}
	j.outcomes[w], j.judgedAt = outcome{at: now, failed: failed}, time.Time{}
}

// failingWorkers counts the workers on which the job's last end was a failure, up to failureMemory ago.
func (j *Job) failingWorkers(now time.Time) (failing int) {
	for _, o := range j.outcomes {
		if o.failed && now.Sub(o.at) <= failureMemory {
			failing++
		}
	}
	return failing
}

// soundWorkers counts the workers on which a task of the job has succeeded, or has run for a while, and none has failed since.
func (j *Job) soundWorkers(now time.Time) int {
	sound := make(map[*Worker]bool)
	for w, o := range j.outcomes {
		if !o.failed && now.Sub(o.at) <= failureMemory {
			sound[w] = true
		}
	}
	for _, g := range j.groups {
		if g.Run == nil {
			continue
		}
		for _, m := range g.Run.Members {
			if m.State == Started && !m.startAckedAt.IsZero() && now.Sub(m.startAckedAt) > soundAfter && !j.outcomes[m.Worker].failed {
				sound[m.Worker] = true
			}
		}
	}
	return len(sound)
}

// failsAnywhere reports whether the job's failures say nothing about workers: they happen on more workers of the service than may be
// closed, and on at least as many as the job runs on without failures.
func (e *Engine) failsAnywhere(j *Job, now time.Time) bool {
	if !j.judgedAt.Equal(now) {
		failing := j.failingWorkers(now)
		j.judgedAt, j.failsAnywhere = now, failing > e.maxClosed(e.queue(j).Service, now) && failing >= j.soundWorkers(now)
	}
	return j.failsAnywhere
}

// maxClosed returns how many workers of the service may be closed at once for failures.
func (e *Engine) maxClosed(service string, now time.Time) int {
	if !e.closableAt.Equal(now) {
		e.closableAt, e.closable = now, make(map[string]int, len(e.closable))
		for _, w := range e.sortedWorkers {
			if e.answers(w, now) {
				e.closable[w.Service]++
			}
		}
	}
	return int(math.Ceil(maxClosedShare * float64(e.closable[service])))
}

// strength is how much the failures on the worker say against it: the share of each job's failing workers that it is, for the jobs whose
// failures say anything about workers.
func (e *Engine) strength(w *Worker, now time.Time) (strength float64) {
	for j, at := range w.failures.jobs {
		if now.Sub(at) > failureMemory {
			delete(w.failures.jobs, j)
			continue
		}
		if !e.failsAnywhere(j, now) {
			strength += 1 / float64(max(j.failingWorkers(now), 1))
		}
	}
	return strength
}

// closedWorker is a worker in a pause after failures.
type closedWorker struct {
	worker   *Worker
	strength float64
}

// boundClosures determines for one decision which workers stay closed after failures: of each service those with the strongest evidence,
// up to the bound, and none whose failures say nothing about it.
func (e *Engine) boundClosures(now time.Time) {
	var closed []closedWorker
	for _, w := range e.sortedWorkers {
		if !now.Before(w.failures.until) {
			continue
		}
		strength := e.strength(w, now)
		w.failures.exempt = strength == 0
		if strength > 0 && e.answers(w, now) {
			closed = append(closed, closedWorker{w, strength})
		}
	}
	slices.SortFunc(closed, func(a, b closedWorker) int {
		return cmp.Or(cmp.Compare(b.strength, a.strength), a.worker.failures.until.Compare(b.worker.failures.until), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	count := make(map[string]int)
	for _, c := range closed {
		count[c.worker.Service]++
		c.worker.failures.exempt = count[c.worker.Service] > e.maxClosed(c.worker.Service, now)
	}
}
