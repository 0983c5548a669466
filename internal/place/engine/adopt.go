package engine

import (
	"sort"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// Adopt takes over the jobs, estimates and worker health from an engine of an earlier configuration.
//
// Running jobs continue, but one with a worker that is no longer configured is stopped; it keeps its other workers until the
// stop is confirmed. Jobs that hold no capacity and do not fit the new configuration are left out.
func (e *Engine) Adopt(old *Engine) {
	e.estimator = old.estimator
	e.actions = append(e.actions, old.takeActions()...)
	for w := range old.Fleet.Workers {
		prev := &old.Fleet.Workers[w]
		if i, ok := e.Fleet.Worker(prev.Name); ok {
			e.health[i] = old.health[w]
			e.Fleet.Workers[i].Up, e.Fleet.Workers[i].Quarantined = prev.Up, prev.Quarantined
		}
	}
	e.repairHomes()
	for _, j := range old.jobsBySubmission() {
		e.adoptJob(old, j)
	}
}

func (e *Engine) jobsBySubmission() []*queue.Job {
	jobs := make([]*queue.Job, 0, len(e.jobs))
	for _, j := range e.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool {
		if !jobs[a].Submitted.Equal(jobs[b].Submitted) {
			return jobs[a].Submitted.Before(jobs[b].Submitted)
		}
		return jobs[a].Job < jobs[b].Job
	})
	return jobs
}

func (e *Engine) adoptJob(old *Engine, prev *queue.Job) {
	if prev.Phase == queue.Ended {
		return
	}
	j := *prev
	j.Slot, j.PinCounted, j.PendingVictims, j.Workers = -1, false, 0, nil
	j.Centres = e.centres[j.Workspace]
	j.FailedOn = e.mapWorkers(old, prev.FailedOn)
	holds := prev.Phase == queue.Running || prev.Phase == queue.Stopping
	workers := e.mapWorkers(old, prev.Workers)
	complete := len(workers) == len(prev.Workers)
	if holds && !complete {
		e.stopIncomplete(&j)
	}
	if !holds && e.Check(&j.Spec) != nil {
		return
	}
	e.jobs[j.Job] = &j
	e.openJobs[j.Workspace] = append(e.openJobs[j.Workspace], &j)
	e.assignSlot(&j)
	if holds {
		e.occupy(&j, workers)
		if complete {
			e.moveHomeToJob(&j)
		}
		return
	}
	j.Phase = queue.Waiting
	e.waiting = append(e.waiting, &j)
}

// stopIncomplete stops a running job of which a worker is no longer configured.
func (e *Engine) stopIncomplete(j *queue.Job) {
	e.emit(Stop{Job: j.Job, Attempt: j.Attempt, Why: "its worker is no longer configured"})
	j.Phase = queue.Stopping
}

// mapWorkers maps worker indexes of another engine to indexes of this one and omits workers that do not exist here.
func (e *Engine) mapWorkers(old *Engine, workers []int) []int {
	mapped := make([]int, 0, len(workers))
	for _, w := range workers {
		if i, ok := e.Fleet.Worker(old.Fleet.Workers[w].Name); ok {
			mapped = append(mapped, i)
		}
	}
	return mapped
}
