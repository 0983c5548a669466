package evict

import (
	"sort"

	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// Victim is a job that may be stopped and what stopping it costs.
type Victim struct {
	Job string
	// Cost is the accelerator-seconds that stopping the job throws away or spends.
	Cost      float64
	PerMember shape.Resources
	Workers   []int
}

// Plan is a place for every member and the jobs that must stop first.
type Plan struct {
	Workers []int
	Victims []Victim
	Cost    float64
}

// Source lists the victims that hold capacity on a worker.
type Source func(worker int) []Victim

// Search is one question: where does the shape fit at the least cost?
type Search struct {
	Fleet *fleet.Fleet
	Shape shape.Shape
	// Limit is what the newcomer may use of a worker in total, whoever uses it now.
	Limit   fleet.View
	Source  Source
	Scratch *Scratch
}

// Best returns the cheapest plan over the given data centres, or ok false.
func (s Search) Best(centres []int) (best Plan, ok bool) {
	for _, centre := range centres {
		s.Fleet.Units(centre, s.Shape.Within, func(u fleet.Unit) bool {
			plan, fits := s.planUnit(u)
			if fits && (!ok || plan.Cost < best.Cost) {
				best, ok = plan, true
			}
			return true
		})
	}
	return best, ok
}

// space is the simulated state of one unit.
type simulation struct {
	search  Search
	states  []workerState
	total   int
	workers []int
}

// cell is the simulated state of one worker; it is part of the unit if its mark is the search's present one.
type workerState struct {
	generation int
	free       shape.Resources
	limit      shape.Resources
	fits       int
}

// Scratch is memory that searches use again and again; one search at a time may have it.
type Scratch struct {
	states     []workerState
	generation int
}

// reset makes the scratch ready for another unit.
func (s *Scratch) nextUnit(workers int) []workerState {
	if len(s.states) < workers {
		s.states = make([]workerState, workers)
	}
	s.generation++
	return s.states
}

func (s Search) planUnit(u fleet.Unit) (Plan, bool) {
	if s.upperBound(u) < s.Shape.Members {
		return Plan{}, false
	}
	sim := simulation{search: s, states: s.Scratch.nextUnit(len(s.Fleet.Workers))}
	sim.load(u)
	chosen := sim.evictUntilFit(s.victims(sim.workers))
	if sim.total < s.Shape.Members {
		return Plan{}, false
	}
	chosen = sim.dropUnneeded(chosen)
	plan := Plan{Workers: sim.assignWorkers(), Victims: chosen}
	for _, v := range chosen {
		plan.Cost += v.Cost
	}
	return plan, true
}

func (r *simulation) load(u fleet.Unit) {
	r.workers = make([]int, 0, len(u.Workers))
	for _, w := range u.Workers {
		limit, ok := r.search.Limit(w)
		if !ok {
			continue
		}
		r.workers = append(r.workers, w)
		r.states[w] = workerState{generation: r.search.Scratch.generation, limit: limit}
		r.setFree(w, r.search.Fleet.Workers[w].Free)
	}
}

// known reports whether the worker is part of the unit.
func (r *simulation) inUnit(w int) bool { return r.states[w].generation == r.search.Scratch.generation }

// set records what is free on a worker and keeps the count of members that fit.
func (r *simulation) setFree(w int, free shape.Resources) {
	c := &r.states[w]
	fits := r.search.Shape.Resources.Count(free.Min(c.limit), r.search.Shape.Members)
	c.free = free
	r.total += fits - c.fits
	c.fits = fits
}

// possible is an upper bound of the members that fit if everything else were stopped.
func (s Search) upperBound(u fleet.Unit) int {
	n := 0
	for _, w := range u.Workers {
		if limit, ok := s.Limit(w); ok {
			n += s.Shape.Resources.Count(limit, s.Shape.Members)
		}
		if n >= s.Shape.Members {
			break
		}
	}
	return n
}

// victims lists each stoppable job of the unit once, the cheapest first.
func (s Search) victims(workers []int) []Victim {
	seen := make(map[string]bool)
	var all []Victim
	for _, w := range workers {
		for _, v := range s.Source(w) {
			if !seen[v.Job] {
				seen[v.Job] = true
				all = append(all, v)
			}
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Cost != all[j].Cost {
			return all[i].Cost < all[j].Cost
		}
		return all[i].Job < all[j].Job
	})
	return all
}

func (r *simulation) evictUntilFit(victims []Victim) []Victim {
	var chosen []Victim
	for _, v := range victims {
		if r.total >= r.search.Shape.Members {
			break
		}
		before := r.total
		r.adjust(v, 1)
		if r.total == before && !r.freesUsefulCapacity(v) {
			r.adjust(v, -1)
			continue
		}
		chosen = append(chosen, v)
	}
	return chosen
}

// helps reports whether the victim frees anything on a worker whose limit could hold a member.
func (r *simulation) freesUsefulCapacity(v Victim) bool {
	for _, w := range v.Workers {
		if r.inUnit(w) && r.search.Shape.Resources.Count(r.states[w].limit, 1) > r.states[w].fits {
			return true
		}
	}
	return false
}

// change frees (sign 1) or takes back (sign -1) what a victim holds in the unit.
func (r *simulation) adjust(v Victim, sign int) {
	for _, w := range v.Workers {
		if r.inUnit(w) {
			r.setFree(w, r.states[w].free.Add(v.PerMember.Times(sign)))
		}
	}
}

// spare drops the victims that turned out not to be needed, the dearest first.
func (r *simulation) dropUnneeded(chosen []Victim) []Victim {
	needed := chosen[:0:0]
	for i := len(chosen) - 1; i >= 0; i-- {
		r.adjust(chosen[i], -1)
		if r.total >= r.search.Shape.Members {
			continue
		}
		r.adjust(chosen[i], 1)
		needed = append(needed, chosen[i])
	}
	return needed
}

// place takes the workers that fit, the tightest first.
func (r *simulation) assignWorkers() []int {
	members := r.search.Shape.Members
	sort.SliceStable(r.workers, func(i, j int) bool {
		return r.states[r.workers[i]].free.Accelerators < r.states[r.workers[j]].free.Accelerators
	})
	placed := make([]int, 0, members)
	for _, w := range r.workers {
		for range min(r.states[w].fits, members-len(placed)) {
			placed = append(placed, w)
		}
	}
	return placed
}
