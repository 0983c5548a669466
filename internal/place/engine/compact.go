package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/evict"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// compactionsPerPass bounds the searches for moves in one decision.
const compactionsPerPass = 3

// compact makes room for a job by moving others: they save their progress, stop, and fit on free capacity elsewhere.
func (e *Engine) compact(j *queue.Job, centres []int, p *pass) bool {
	if e.policy.Compact <= 0 || p.compact >= compactionsPerPass || j.Pinned() {
		return false
	}
	// What moves must fit beside the claimant, so all that is free together must hold the claimant.
	if e.survey(p); p.free < j.Total().Accelerators {
		return false
	}
	p.compact++
	limit := e.Fleet.EmptyUsableView()
	if len(j.FailedOn) > 0 {
		limit = avoiding(limit, j.FailedOn)
	}
	search := evict.Search{Fleet: e.Fleet, Scratch: &e.scratch, Shape: j.Shape, Limit: limit, Source: e.movable(j, p.now)}
	plan, ok := search.Best(centres)
	if !ok || plan.Cost*e.policy.Compact > e.est.Remaining(j, p.now).Seconds()*weight(j) {
		return false
	}
	if !e.relocatable(plan) {
		return false
	}
	e.claim(j, plan, "others move closer together", p.now)
	return true
}

// movable lists the jobs on a worker that can be stopped without losing work.
func (e *Engine) movable(claimant *queue.Job, now time.Time) evict.Source {
	return func(w int) []evict.Victim {
		var found []evict.Victim
		for _, j := range e.onWorker[w] {
			if j.Phase != queue.Running || !j.Checkpoints() || e.seated(j) || !e.ranEnough(j, now) {
				continue
			}
			found = append(found, evict.Victim{Job: j.Job, Cost: e.stopCost(j, claimant, now), Each: j.Resources, Workers: j.Workers})
		}
		return found
	}
}

// relocatable reports whether all victims fit at once on what is free now beside the claimant's place.
func (e *Engine) relocatable(plan evict.Plan) bool {
	view := avoiding(e.Fleet.FreeView(), plan.Workers)
	var taken []taking
	defer func() {
		for _, t := range taken {
			t.undo(e.Fleet)
		}
	}()
	for _, v := range plan.Victims {
		j := e.jobs[v.Job]
		workers := e.Fleet.Find(e.startable(j), j.Shape, view, false)
		if workers == nil {
			return false
		}
		t := taking{workers: workers, each: j.Resources}
		t.do(e.Fleet)
		taken = append(taken, t)
	}
	return true
}

// taking is capacity that is taken for the sake of a trial.
type taking struct {
	workers []int
	each    shape.Resources
}

func (t taking) do(f *fleet.Fleet) {
	for _, w := range t.workers {
		f.Workers[w].Free = f.Workers[w].Free.Sub(t.each)
	}
}

func (t taking) undo(f *fleet.Fleet) {
	for _, w := range t.workers {
		f.Workers[w].Free = f.Workers[w].Free.Add(t.each)
	}
}
