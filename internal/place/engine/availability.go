package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// checkpointMargin is how long before the drain deadline a checkpoint must be complete.
const checkpointMargin = time.Second

// WorkerLost records that a worker is lost and its leases have expired, so that nothing runs there.
func (e *Engine) WorkerLost(w int, now time.Time) {
	e.Fleet.Workers[w].Up = false
	for _, j := range append([]*queue.Job(nil), e.onWorker[w]...) {
		e.attemptLost(j, "worker "+e.Fleet.Workers[w].Name+" was lost", now)
	}
	e.repairHomes()
}

// WorkerDown records that a worker can't be used; the caller reports the outcome of its tasks separately.
func (e *Engine) WorkerDown(w int, now time.Time) {
	e.Fleet.Workers[w].Up = false
	e.dropReservations(w, now)
	e.repairHomes()
}

// WorkerBack records that a worker may be used again and clears its failure history.
func (e *Engine) WorkerBack(w int) {
	e.Fleet.Workers[w].Up = true
	e.health[w] = workerState{}
	e.Fleet.Workers[w].Quarantined = false
	e.repairHomes()
}

// CentreLost records that a whole data centre failed without warning.
func (e *Engine) CentreLost(d int, now time.Time) {
	e.Fleet.DataCentres[d].Down = true
	for _, w := range e.Fleet.DataCentres[d].Workers {
		for _, j := range append([]*queue.Job(nil), e.onWorker[w]...) {
			e.attemptLost(j, "data centre "+e.Fleet.DataCentres[d].Name+" was lost", now)
		}
	}
	e.repairHomes()
}

// CentreBack records that a lost data centre is available again.
func (e *Engine) CentreBack(d int) {
	e.Fleet.DataCentres[d].Down = false
	e.repairHomes()
}

// Drain takes a data centre out of service: no job starts there, and running jobs stop by the deadline.
func (e *Engine) Drain(d int, deadline, now time.Time) {
	if e.drains[d].active && !deadline.Before(e.drains[d].deadline) {
		return
	}
	e.Fleet.DataCentres[d].Drained = true
	e.drains[d] = drainState{deadline: deadline, active: true}
	for _, w := range e.Fleet.DataCentres[d].Workers {
		e.dropReservations(w, now)
	}
	e.repairHomes()
}

// dropReservations cancels the reservations on the worker and puts their jobs back into the queue.
func (e *Engine) dropReservations(w int, now time.Time) {
	for _, j := range append([]*queue.Job(nil), e.onWorker[w]...) {
		if j.Phase == queue.Claiming {
			e.release(j)
			e.requeue(j, now)
		}
	}
}

// Reopen puts a drained data centre back into service.
func (e *Engine) Reopen(d int) {
	e.Fleet.DataCentres[d].Drained = false
	e.drains[d] = drainState{}
	e.repairHomes()
	for _, w := range e.Fleet.DataCentres[d].Workers {
		for _, j := range e.onWorker[w] {
			if j.Phase == queue.Running && !e.inHome(j) {
				e.moveHomeToJob(j)
			}
		}
	}
}

// SetOwned sets whether an instance owns the data centre and may decide for it.
func (e *Engine) SetOwned(d int, owned bool) { e.Fleet.DataCentres[d].Unowned = !owned }

// SetPermit sets whether there is a freshness proof that the data centre is not drained.
func (e *Engine) SetPermit(d int, permitted bool) { e.Fleet.DataCentres[d].NoPermit = !permitted }

// stopDrained stops the jobs in drained data centres, each as late as its checkpoint time allows.
func (e *Engine) stopDrained(now time.Time) {
	for d := range e.drains {
		if !e.drains[d].active || e.Fleet.DataCentres[d].Down || e.Fleet.DataCentres[d].Unowned {
			continue
		}
		for _, w := range e.Fleet.DataCentres[d].Workers {
			for _, j := range append([]*queue.Job(nil), e.onWorker[w]...) {
				if j.Phase == queue.Running && !now.Before(e.stopBy(j, d)) {
					e.stop(j, j.Checkpoints(), "data centre is drained", now)
				}
			}
		}
	}
}

// stopBy returns when the job must begin to stop in order to be gone by the drain deadline.
func (e *Engine) stopBy(j *queue.Job, d int) time.Time {
	deadline := e.drains[d].deadline
	if j.Checkpoints() {
		return deadline.Add(-j.CheckpointTakes.Duration - checkpointMargin)
	}
	return deadline
}

// NextDecision returns when the next decision is due if no event occurs before; ok is false if none is due.
func (e *Engine) NextDecision(now time.Time) (at time.Time, ok bool) {
	earliest := func(t time.Time) {
		if t.After(now) && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	for d := range e.drains {
		if !e.drains[d].active {
			continue
		}
		for _, w := range e.Fleet.DataCentres[d].Workers {
			for _, j := range e.onWorker[w] {
				earliest(e.stopBy(j, d))
			}
		}
	}
	for w := range e.health {
		if e.Fleet.Workers[w].Quarantined {
			earliest(e.health[w].probeAt)
		}
	}
	for _, j := range e.waiting {
		earliest(j.NotBefore)
	}
	if len(e.waiting) > 0 && (e.policy.PreemptRatio > 0 || e.policy.CompactRatio > 0) {
		earliest(now.Add(reviewInterval))
	}
	return at, ok
}

// reviewInterval is how often waiting jobs are considered again for preemption when no event occurs.
const reviewInterval = 30 * time.Second
