package engine

import (
	"sort"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/evict"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/reason"
)

// start allocates the workers to the job and starts its members.
func (e *Engine) start(j *queue.Job, workers []int, why string, now time.Time) {
	e.occupy(j, workers)
	e.launch(j, why, now)
}

// launch starts the members of a job on the workers that are already allocated to it.
func (e *Engine) launch(j *queue.Job, why string, now time.Time) {
	j.Phase = queue.Running
	j.Started = now
	j.Attempt++
	j.Reason = reason.Reason{}
	e.emit(Start{Job: j.Job, Attempt: j.Attempt, Workers: append([]int(nil), j.Workers...), Why: why})
}

// reserve allocates the workers of the plan to the job and stops the plan's victims.
func (e *Engine) reserve(j *queue.Job, plan evict.Plan, why string, now time.Time) {
	e.occupy(j, plan.Workers)
	j.Phase = queue.Claiming
	for _, v := range plan.Victims {
		e.preemptVictim(e.jobs[v.Job], j, now)
	}
	if j.PendingVictims == 0 {
		e.launch(j, why, now)
		return
	}
	where := e.Fleet.Racks[e.Fleet.Workers[plan.Workers[0]].Rack].Name
	j.Reason = reason.Reason{Code: reason.Reclaiming, Shape: j.Shape, Where: where, Stopping: j.PendingVictims}
}

// preemptVictim stops one victim, or cancels its reservation, and makes the requester wait until it has stopped.
func (e *Engine) preemptVictim(victim, requester *queue.Job, now time.Time) {
	switch victim.Phase {
	case queue.Claiming:
		e.release(victim)
		e.requeue(victim, now)
		return
	case queue.Running:
		e.stop(victim, e.stopsWithCheckpoint(victim, requester, now), "gives way to "+requester.Job, now)
	}
	if victim.Phase == queue.Stopping {
		e.requesters[victim.Job] = append(e.requesters[victim.Job], requester)
		requester.PendingVictims++
	}
}

// stop orders the job to stop; its capacity stays allocated until the stop is reported.
func (e *Engine) stop(j *queue.Job, checkpoint bool, why string, now time.Time) {
	j.Phase = queue.Stopping
	j.StopExpectedAt = now
	if checkpoint {
		j.StopExpectedAt = now.Add(j.CheckpointTakes.Duration)
	}
	e.emit(Stop{Job: j.Job, Attempt: j.Attempt, Workers: append([]int(nil), j.Workers...), Checkpoint: checkpoint, Why: why})
}

// startReserved starts the jobs whose victims have all stopped.
func (e *Engine) startReserved(now time.Time) {
	for _, j := range e.reservedJobs() {
		d := e.Fleet.Workers[j.Workers[0]].DataCentre
		if j.PendingVictims == 0 && e.Fleet.DataCentres[d].Startable() {
			e.launch(j, "capacity reclaimed", now)
			continue
		}
		if j.PendingVictims > 0 && j.Slot >= 0 {
			e.startOnFreedCapacity(j, now)
		}
		j.Reason.Stopping = j.PendingVictims
	}
}

// reservedJobs returns the jobs that wait for victims to stop, sorted by name.
func (e *Engine) reservedJobs() []*queue.Job {
	var found []*queue.Job
	for _, jobs := range e.openJobs {
		for _, j := range jobs {
			if j.Phase == queue.Claiming {
				found = append(found, j)
			}
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Job < found[b].Job })
	return found
}
