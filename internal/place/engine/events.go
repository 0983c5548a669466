package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// Cancel ends a job and stops its members at once if it runs. It reports whether the job was open.
func (e *Engine) Cancel(id string) bool {
	j := e.jobs[id]
	if j == nil || j.Phase == queue.Ended {
		return false
	}
	if j.Phase == queue.Running || j.Phase == queue.Stopping {
		e.emit(Stop{Job: id, Attempt: j.Attempt, Workers: j.Workers, Why: "cancelled"})
	}
	e.end(j, queue.Cancelled, "cancelled")
	return true
}

// Finished records that every member of the attempt has finished.
func (e *Engine) Finished(id string, now time.Time) {
	j := e.jobs[id]
	if j == nil || !(j.Phase == queue.Running || j.Phase == queue.Stopping) {
		return
	}
	e.estimator.Finished(&j.Spec, j.Attained(now))
	e.eachWorker(j, func(w int) { e.clearWorkerFailures(w) })
	e.end(j, queue.Finished, "finished")
}

// Stopped records that a stop is complete; progress is the run time that is saved in a checkpoint.
func (e *Engine) Stopped(id string, progress time.Duration, now time.Time) {
	j := e.jobs[id]
	if j == nil || j.Phase != queue.Stopping {
		return
	}
	j.Progress = progress
	e.release(j)
	if j.Pinned() {
		e.end(j, queue.Interrupted, "stopped after it had started; not idempotent, so it is not run again")
		return
	}
	e.requeue(j, now)
}

// StartFailed records that not every member could be started, so that no member runs.
func (e *Engine) StartFailed(id string, now time.Time) {
	j := e.jobs[id]
	if j == nil || j.Phase != queue.Running {
		return
	}
	e.release(j)
	j.NotBefore = now.Add(startBackoff + time.Duration(e.rng.Int64N(int64(startBackoff))))
	e.requeue(j, now)
}

// StartAborted records that a start was undone before any member ran.
func (e *Engine) StartAborted(id string, now time.Time) {
	if j := e.jobs[id]; j != nil && j.Phase == queue.Stopping {
		j.Phase = queue.Running
		e.StartFailed(id, now)
	}
}

// Abort stops a running job that can't continue; the caller reports the outcome once all members have ended.
func (e *Engine) Abort(id, why string, now time.Time) {
	if j := e.jobs[id]; j != nil && j.Phase == queue.Running {
		e.stop(j, false, why, now)
	}
}

// Lost records that an attempt has ended because some of its members were lost.
func (e *Engine) Lost(id, why string, now time.Time) {
	if j := e.jobs[id]; j != nil && (j.Phase == queue.Running || j.Phase == queue.Stopping) {
		e.attemptLost(j, why, now)
	}
}

// Withdraw removes a job that waits here, because another data centre holds it or because it has ended.
func (e *Engine) Withdraw(id string) {
	j := e.jobs[id]
	if j == nil || (j.Phase != queue.Waiting && j.Phase != queue.Claiming) {
		return
	}
	e.end(j, queue.Cancelled, "")
	delete(e.jobs, id)
}

// startBackoff is the minimum delay after a failed start; a random part of up to the same length is added.
const startBackoff = 200 * time.Millisecond

// end closes the job and frees its capacity and its guarantee slot.
func (e *Engine) end(j *queue.Job, outcome queue.Outcome, why string) {
	if j.Phase == queue.Waiting {
		e.waiting = remove(e.waiting, j)
	}
	if j.HoldsCapacity() {
		e.release(j)
	}
	slot := j.Slot
	j.Phase, j.Outcome, j.Slot = queue.Ended, outcome, -1
	e.openJobs[j.Workspace] = remove(e.openJobs[j.Workspace], j)
	if slot >= 0 {
		e.Guard.ReleaseSlot(slot)
		e.reassignSlot(j.Workspace)
	}
	if outcome != queue.Finished && outcome != queue.Cancelled {
		e.emit(End{Job: j.Job, Outcome: outcome, Why: why})
	}
}

// release frees the job's capacity and decrements the pending victims of the jobs that wait for it.
func (e *Engine) release(j *queue.Job) {
	e.vacate(j)
	if j.Slot >= 0 {
		e.Guard.Slots[j.Slot].InHome = false
	}
	for _, requester := range e.requesters[j.Job] {
		requester.PendingVictims--
	}
	delete(e.requesters, j.Job)
	if j.Phase == queue.Claiming {
		e.cancelReservation(j)
	}
}

// cancelReservation removes a job with a reservation from the requesters of its victims.
func (e *Engine) cancelReservation(j *queue.Job) {
	for victim, requesters := range e.requesters {
		e.requesters[victim] = remove(requesters, j)
	}
	j.PendingVictims = 0
}

// requeue puts a job that no longer holds capacity back into the queue.
func (e *Engine) requeue(j *queue.Job, now time.Time) {
	j.Phase = queue.Waiting
	j.WaitingSince = now
	j.Reason.Code = 0
	e.waiting = append(e.waiting, j)
}

// attemptLost handles a job that has lost its members or its reservation for certain.
func (e *Engine) attemptLost(j *queue.Job, why string, now time.Time) {
	started := j.Phase != queue.Claiming
	if started {
		e.emit(Stop{Job: j.Job, Attempt: j.Attempt, Workers: j.Workers, Why: why})
		j.Progress = j.Attained(now) - j.Unsaved(now)
	}
	e.release(j)
	if started && !j.Idempotent {
		e.end(j, queue.Interrupted, why)
		return
	}
	e.requeue(j, now)
}
