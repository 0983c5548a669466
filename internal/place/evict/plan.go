package evict

import (
	"sort"

	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// Victim is a job that may be stopped, with the cost of stopping it.
type Victim struct {
	Job string
	// Cost is the work in accelerator-seconds that is lost or spent by stopping the job.
	Cost      float64
	PerMember shape.Resources
	Workers   []int
}

// Plan is a worker for every member and the jobs that must stop first.
type Plan struct {
	Workers []int
	Victims []Victim
	Cost    float64
}

// Source returns the jobs on a worker that may be stopped.
type Source func(worker int) []Victim

// Search looks for the placement of a shape whose victims cost least.
type Search struct {
	Fleet *fleet.Fleet
	Shape shape.Shape
	// Limit is the total capacity of a worker that the shape may use, including what other jobs hold now.
	Limit   fleet.View
	Source  Source
	Scratch *Scratch
}

// Best returns the cheapest plan in the given data centres; ok is false if there is none.
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

// simulation is the simulated state of one unit.
type simulation struct {
	search  Search
	states  []workerState
	total   int
	workers []int
}

// workerState is the simulated state of one worker; it is valid if its generation is the current one of the Scratch.
type workerState struct {
	generation int
	free       shape.Resources
	limit      shape.Resources
	fits       int
}

// Scratch is memory that is reused between searches; it must not be used by two searches at the same time.
type Scratch struct {
	states     []workerState
	generation int
}

// nextUnit invalidates the states of the previous unit and returns the memory for the next one.
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

func (sim *simulation) load(u fleet.Unit) {
	sim.workers = make([]int, 0, len(u.Workers))
	for _, w := range u.Workers {
		limit, ok := sim.search.Limit(w)
		if !ok {
			continue
		}
		sim.workers = append(sim.workers, w)
		sim.states[w] = workerState{generation: sim.search.Scratch.generation, limit: limit}
		sim.setFree(w, sim.search.Fleet.Workers[w].Free)
	}
}

// inUnit reports whether the worker is part of the simulated unit.
func (sim *simulation) inUnit(w int) bool {
	return sim.states[w].generation == sim.search.Scratch.generation
}

// setFree sets the free capacity of a worker and updates the number of members that fit.
func (sim *simulation) setFree(w int, free shape.Resources) {
	state := &sim.states[w]
	fits := sim.search.Shape.Resources.Count(free.Min(state.limit), sim.search.Shape.Members)
	state.free = free
	sim.total += fits - state.fits
	state.fits = fits
}

// upperBound returns how many members, up to the shape's, would fit if everything else were stopped.
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

// victims returns each job of the unit that may be stopped, without duplicates and the cheapest first.
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

func (sim *simulation) evictUntilFit(victims []Victim) []Victim {
	var chosen []Victim
	for _, v := range victims {
		if sim.total >= sim.search.Shape.Members {
			break
		}
		before := sim.total
		sim.adjust(v, 1)
		if sim.total == before && !sim.freesUsefulCapacity(v) {
			sim.adjust(v, -1)
			continue
		}
		chosen = append(chosen, v)
	}
	return chosen
}

// freesUsefulCapacity reports whether the victim runs on a worker whose limit allows more members than fit there now.
func (sim *simulation) freesUsefulCapacity(v Victim) bool {
	for _, w := range v.Workers {
		if sim.inUnit(w) && sim.search.Shape.Resources.Count(sim.states[w].limit, 1) > sim.states[w].fits {
			return true
		}
	}
	return false
}

// adjust frees (sign 1) or takes back (sign -1) the capacity that a victim holds in the unit.
func (sim *simulation) adjust(v Victim, sign int) {
	for _, w := range v.Workers {
		if sim.inUnit(w) {
			sim.setFree(w, sim.states[w].free.Add(v.PerMember.Times(sign)))
		}
	}
}

// dropUnneeded removes the victims that turn out not to be needed, the most expensive first.
func (sim *simulation) dropUnneeded(chosen []Victim) []Victim {
	needed := chosen[:0:0]
	for i := len(chosen) - 1; i >= 0; i-- {
		sim.adjust(chosen[i], -1)
		if sim.total >= sim.search.Shape.Members {
			continue
		}
		sim.adjust(chosen[i], 1)
		needed = append(needed, chosen[i])
	}
	return needed
}

// assignWorkers assigns the members to workers that fit, those with the fewest free accelerators first.
func (sim *simulation) assignWorkers() []int {
	members := sim.search.Shape.Members
	sort.SliceStable(sim.workers, func(i, j int) bool {
		return sim.states[sim.workers[i]].free.Accelerators < sim.states[sim.workers[j]].free.Accelerators
	})
	placed := make([]int, 0, members)
	for _, w := range sim.workers {
		for range min(sim.states[w].fits, members-len(placed)) {
			placed = append(placed, w)
		}
	}
	return placed
}
