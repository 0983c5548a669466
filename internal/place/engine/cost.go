package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/evict"
	"github.com/lentildeck/lentildeck/internal/place/queue"
)

const (
	// maxUrgentStopWait is the longest stop that a requester above the batch class can wait for.
	maxUrgentStopWait = 4 * time.Second
	// slowStopPenalty, in accelerator-seconds, makes victims the last choice that stop too slowly for a requester
	// above the batch class.
	slowStopPenalty = 1e9
	// coreWeight is the weight of a core relative to an accelerator.
	coreWeight = 0.05
	// guaranteedCostFactor raises the cost of stopping a guaranteed job, because it would have to be moved twice.
	guaranteedCostFactor = 3
)

// weight returns the capacity that a job needs, in accelerators.
func weight(j *queue.Job) float64 {
	total := j.Total()
	return float64(total.Accelerators) + coreWeight*float64(total.Cores)
}

// reclaimable returns a source of the jobs on a worker that may be stopped for a guaranteed job.
func (e *Engine) reclaimable(requester *queue.Job, now time.Time) evict.Source {
	return func(w int) []evict.Victim {
		var found []evict.Victim
		for _, j := range e.onWorker[w] {
			if e.inHome(j) || j.Pinned() {
				continue
			}
			found = append(found, evict.Victim{Job: j.Job, Cost: e.stopCost(j, requester, now), PerMember: j.Resources, Workers: j.Workers})
		}
		return found
	}
}

// stopCost returns the work that is lost by stopping the job for the requester, in accelerator-seconds.
func (e *Engine) stopCost(j, requester *queue.Job, now time.Time) float64 {
	if j.Phase != queue.Running {
		return e.waitCost(j, requester, now)
	}
	lost := j.Unsaved(now)
	if e.stopsWithCheckpoint(j, requester, now) {
		lost = j.CheckpointTakes.Duration
	}
	cost := (1 + lost.Seconds()) * weight(j)
	if j.Slot >= 0 {
		cost *= guaranteedCostFactor
	}
	if requester.Class != queue.Batch && !j.Idempotent && j.CheckpointTakes.Duration > maxUrgentStopWait {
		cost += slowStopPenalty
	}
	return cost
}

// waitCost returns the cost of waiting for a job that stops in any case; it is zero unless the stop takes too long
// for a requester above the batch class.
func (e *Engine) waitCost(j, requester *queue.Job, now time.Time) float64 {
	if requester.Class != queue.Batch && j.Phase == queue.Stopping && j.StopExpectedAt.Sub(now) > maxUrgentStopWait {
		return slowStopPenalty
	}
	return 0
}

// stopsWithCheckpoint reports whether the victim should be stopped with a checkpoint rather than at once.
func (e *Engine) stopsWithCheckpoint(j, requester *queue.Job, now time.Time) bool {
	if !j.Checkpoints() || !j.Idempotent {
		return j.Checkpoints()
	}
	if requester.Class != queue.Batch && j.CheckpointTakes.Duration > maxUrgentStopWait {
		return false
	}
	return j.CheckpointTakes.Duration <= j.Unsaved(now)
}
