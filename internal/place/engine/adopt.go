package engine

import (
	"sort"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// Adopt takes over the jobs and what was learned from an engine of an earlier configuration.
//
// Jobs that no longer fit the configuration and hold nothing are left out; what runs goes on.
func (e *Engine) Adopt(old *Engine) {
	e.est = old.est
	e.actions = append(e.actions, old.flush()...)
	for w := range old.Fleet.Workers {
		was := &old.Fleet.Workers[w]
		if i, ok := e.Fleet.Worker(was.Name); ok {
			e.health[i] = old.health[w]
			e.Fleet.Workers[i].Up, e.Fleet.Workers[i].Quarantined = was.Up, was.Quarantined
		}
	}
	e.repair()
	for _, j := range old.bySubmission() {
		e.adoptJob(old, j)
	}
}

func (e *Engine) bySubmission() []*queue.Job {
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

func (e *Engine) adoptJob(old *Engine, was *queue.Job) {
	if was.Phase == queue.Ended {
		return
	}
	j := *was
	j.Slot, j.PinCounted, j.Victims, j.Workers = -1, false, 0, nil
	j.Centres = e.centres[j.Workspace]
	j.FailedOn = e.renumber(old, was.FailedOn)
	holds := was.Phase == queue.Running || was.Phase == queue.Stopping
	workers := e.renumber(old, was.Workers)
	if holds && len(workers) != len(was.Workers) {
		e.act(Stop{Job: j.Job, Attempt: j.Attempt, Why: "its worker is no longer configured"})
		holds = false
	}
	if !holds && e.Check(&j.Spec) != nil {
		return
	}
	e.jobs[j.Job] = &j
	e.open[j.Workspace] = append(e.open[j.Workspace], &j)
	e.entitle(&j)
	if holds {
		e.occupy(&j, workers)
		e.settle(&j)
		return
	}
	j.Phase = queue.Waiting
	e.waiting = append(e.waiting, &j)
}

// renumber maps worker indexes of another engine to this one's; workers that do not exist here are left out.
func (e *Engine) renumber(old *Engine, workers []int) []int {
	mapped := make([]int, 0, len(workers))
	for _, w := range workers {
		if i, ok := e.Fleet.Worker(old.Fleet.Workers[w].Name); ok {
			mapped = append(mapped, i)
		}
	}
	return mapped
}
