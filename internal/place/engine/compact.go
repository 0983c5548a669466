package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/evict"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// maxCompactionsPerPass limits the searches for jobs to move in one decision.
const maxCompactionsPerPass = 3

// compact defragments free capacity for a job: it stops other jobs that can checkpoint and fit on free capacity elsewhere.
func (e *Engine) compact(j *queue.Job, centres []int, p *pass) bool {
	if e.policy.CompactRatio <= 0 || p.compactions >= maxCompactionsPerPass || j.Pinned() {
		return false
	}
	// The moved jobs need free capacity besides the job's own, so the total free capacity must at least hold the job.
	if e.scanWorkers(p); p.freeAccelerators < j.Total().Accelerators {
		return false
	}
	p.compactions++
	limit := e.Fleet.EmptyUsableView()
	if len(j.FailedOn) > 0 {
		limit = excluding(limit, j.FailedOn)
	}
	search := evict.Search{Fleet: e.Fleet, Scratch: &e.scratch, Shape: j.Shape, Limit: limit, Source: e.movable(j, p.now)}
	plan, ok := search.Best(centres)
	if !ok || plan.Cost*e.policy.CompactRatio > e.estimator.Remaining(j, p.now).Seconds()*weight(j) {
		return false
	}
	if !e.canRelocate(plan) {
		return false
	}
	e.reserve(j, plan, "others move closer together", p.now)
	return true
}

// movable returns a source of the jobs on a worker that can be stopped without losing work.
func (e *Engine) movable(requester *queue.Job, now time.Time) evict.Source {
	return func(w int) []evict.Victim {
		var found []evict.Victim
		for _, j := range e.onWorker[w] {
			if j.Phase != queue.Running || !j.Checkpoints() || e.inHome(j) || !e.ranLongEnough(j, now) {
				continue
			}
			found = append(found, evict.Victim{Job: j.Job, Cost: e.stopCost(j, requester, now), PerMember: j.Resources, Workers: j.Workers})
		}
		return found
	}
}

// canRelocate reports whether all victims fit at the same time on capacity that is free now, outside the plan's workers.
func (e *Engine) canRelocate(plan evict.Plan) bool {
	view := excluding(e.Fleet.FreeView(), plan.Workers)
	var trial []trialAllocation
	defer func() {
		for _, t := range trial {
			t.revert(e.Fleet)
		}
	}()
	for _, v := range plan.Victims {
		j := e.jobs[v.Job]
		workers := e.Fleet.Find(e.startableCentres(j), j.Shape, view, false)
		if workers == nil {
			return false
		}
		t := trialAllocation{workers: workers, perMember: j.Resources}
		t.apply(e.Fleet)
		trial = append(trial, t)
	}
	return true
}

// trialAllocation is capacity that is taken from workers temporarily to test whether several jobs fit at the same time.
type trialAllocation struct {
	workers   []int
	perMember shape.Resources
}

func (t trialAllocation) apply(f *fleet.Fleet) {
	for _, w := range t.workers {
		f.Workers[w].Free = f.Workers[w].Free.Sub(t.perMember)
	}
}

func (t trialAllocation) revert(f *fleet.Fleet) {
	for _, w := range t.workers {
		f.Workers[w].Free = f.Workers[w].Free.Add(t.perMember)
	}
}
