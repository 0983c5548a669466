package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/evict"
	"github.com/lentildeck/lentildeck/internal/place/queue"
)

const (
	// urgentStop is the longest stop that an urgent job can wait for.
	maxUrgentStopWait = 4 * time.Second
	// slowStopPenalty makes victims that stop too slowly for an urgent job the last choice.
	slowStopPenalty = 1e9
	// coreWeight is what a core counts beside an accelerator.
	coreWeight = 0.05
	// entitledFactor makes jobs that would have to be moved twice dearer.
	guaranteedCostFactor = 3
)

// weight is the capacity a job holds, in accelerators.
func weight(j *queue.Job) float64 {
	total := j.Total()
	return float64(total.Accelerators) + coreWeight*float64(total.Cores)
}

// reclaimable lists the jobs on a worker that may be stopped for an entitled job.
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

// stopCost is what stopping the job for the claimant throws away, in accelerator-seconds.
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

// waitCost is what waiting for a job that stops anyway costs; only a pressing claimant can't wait for long.
func (e *Engine) waitCost(j, requester *queue.Job, now time.Time) float64 {
	if requester.Class != queue.Batch && j.Phase == queue.Stopping && j.StopExpectedAt.Sub(now) > maxUrgentStopWait {
		return slowStopPenalty
	}
	return 0
}

// byCheckpoint reports whether the victim is better stopped with a checkpoint than at once.
func (e *Engine) stopsWithCheckpoint(j, requester *queue.Job, now time.Time) bool {
	if !j.Checkpoints() || !j.Idempotent {
		return j.Checkpoints()
	}
	if requester.Class != queue.Batch && j.CheckpointTakes.Duration > maxUrgentStopWait {
		return false
	}
	return j.CheckpointTakes.Duration <= j.Unsaved(now)
}
