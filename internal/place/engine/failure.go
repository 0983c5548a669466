package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

const (
	// failuresToEnd is how many distinct healthy workers a job must fail on before it ends.
	failuresToEnd = 3
	// failuresAtMost ends a job wherever it failed.
	maxFailures = 8
	// failuresToQuarantine is how many distinct jobs must fail on a worker in a row.
	failuresToQuarantine = 2
	// probeAfter is the first wait before a quarantined worker is tried again; it doubles up to probeAtMost.
	initialProbeDelay = 2 * time.Minute
	maxProbeDelay     = 2 * time.Hour
)

// Failed records that the attempt failed because of a member on the worker.
func (e *Engine) Failed(id string, w int, now time.Time) {
	j := e.jobs[id]
	if j == nil || !(j.Phase == queue.Running || j.Phase == queue.Stopping) {
		return
	}
	e.emit(Stop{Job: id, Attempt: j.Attempt, Workers: j.Workers, Why: "a member failed"})
	j.Progress = j.Attained(now) - j.Unsaved(now)
	j.Failures++
	if firstIndex(j.FailedOn, w) < 0 {
		j.FailedOn = append(j.FailedOn, w)
	}
	e.release(j)
	e.recordWorkerFailure(j, w, now)
	switch {
	case !j.Idempotent:
		e.end(j, queue.Interrupted, "failed after it had started; not idempotent, so it is not run again")
	case e.tooManyFailures(j), j.Failures >= failuresToEnd && !e.fitsElsewhere(j):
		e.end(j, queue.Failed, "failed on several workers that run other jobs well")
	default:
		e.requeue(j, now)
	}
}

// blame counts the failure against the worker too and quarantines it on evidence from distinct jobs.
func (e *Engine) recordWorkerFailure(j *queue.Job, w int, now time.Time) {
	health := &e.health[w]
	for _, id := range health.failedJobs {
		if id == j.Job {
			return
		}
	}
	health.failedJobs = append(health.failedJobs, j.Job)
	if len(health.failedJobs) < failuresToQuarantine || e.Fleet.Workers[w].Quarantined {
		return
	}
	withoutHome := e.Guard.CountWithoutHome()
	e.Fleet.Workers[w].Quarantined = true
	health.probeAt = now.Add(min(initialProbeDelay<<min(health.probes, 10), maxProbeDelay))
	health.probes++
	e.repairHomes()
	if e.Guard.CountWithoutHome() > withoutHome {
		// A promise goes before a suspicion: without this worker a guaranteed shape would have no place.
		e.Fleet.Workers[w].Quarantined = false
		e.repairHomes()
	}
}

// succeeded clears a worker of suspicion.
func (e *Engine) clearWorkerFailures(w int) {
	e.health[w].failedJobs = nil
	e.health[w].probes = 0
}

// exhausted reports whether the job itself is to blame: it failed on workers that nobody else fails on.
func (e *Engine) tooManyFailures(j *queue.Job) bool {
	if j.Failures >= maxFailures {
		return true
	}
	healthy := 0
	for _, w := range j.FailedOn {
		if len(e.health[w].failedJobs) < failuresToQuarantine {
			healthy++
		}
	}
	return healthy >= failuresToEnd
}

// fitsElsewhere reports whether workers that the job has not failed on could hold it.
func (e *Engine) fitsElsewhere(j *queue.Job) bool {
	return e.Fleet.Find(e.startableCentres(j), j.Shape, excluding(e.Fleet.EmptyUsableView(), j.FailedOn), false) != nil
}

// probeStep gives quarantined workers another chance; one more failure sends them back for longer.
func (e *Engine) releaseQuarantined(now time.Time) {
	released := false
	for w := range e.health {
		worker := &e.Fleet.Workers[w]
		if worker.Quarantined && !now.Before(e.health[w].probeAt) {
			worker.Quarantined = false
			released = true
			// A task that was still running may have cleared the worker meanwhile.
			e.health[w].failedJobs = e.health[w].failedJobs[:min(len(e.health[w].failedJobs), failuresToQuarantine-1)]
		}
	}
	if released {
		e.repairHomes()
	}
}
