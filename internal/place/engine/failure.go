package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

const (
	// failuresToEnd is the number of distinct healthy workers on which a job must fail before it ends.
	failuresToEnd = 3
	// maxFailures is the number of failures after which a job ends, regardless of the workers.
	maxFailures = 8
	// failuresToQuarantine is the number of distinct jobs that must fail on a worker without a success in between.
	failuresToQuarantine = 2
	// initialProbeDelay is the first quarantine time of a worker; it doubles with each quarantine, up to maxProbeDelay.
	initialProbeDelay = 2 * time.Minute
	maxProbeDelay     = 2 * time.Hour
)

// Failed records that the attempt failed because of the member on the worker with index w.
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

// recordWorkerFailure counts the failure against the worker and quarantines it after failures of several distinct jobs.
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
		// Guarantees take precedence over quarantine: without this worker a guaranteed shape would have no home.
		e.Fleet.Workers[w].Quarantined = false
		e.repairHomes()
	}
}

// clearWorkerFailures resets the failure history of a worker after a success.
func (e *Engine) clearWorkerFailures(w int) {
	e.health[w].failedJobs = nil
	e.health[w].probes = 0
}

// tooManyFailures reports whether the job itself is the likely cause: it failed on workers on which other jobs do not fail.
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

// fitsElsewhere reports whether the workers on which the job has not failed could hold it if they were empty.
func (e *Engine) fitsElsewhere(j *queue.Job) bool {
	return e.Fleet.Find(e.startableCentres(j), j.Shape, excluding(e.Fleet.EmptyUsableView(), j.FailedOn), false) != nil
}

// releaseQuarantined makes workers usable again after their quarantine; one more failure quarantines them for longer.
func (e *Engine) releaseQuarantined(now time.Time) {
	released := false
	for w := range e.health {
		worker := &e.Fleet.Workers[w]
		if worker.Quarantined && !now.Before(e.health[w].probeAt) {
			worker.Quarantined = false
			released = true
			// A task that was still running may have cleared the failures in the meantime.
			e.health[w].failedJobs = e.health[w].failedJobs[:min(len(e.health[w].failedJobs), failuresToQuarantine-1)]
		}
	}
	if released {
		e.repairHomes()
	}
}
