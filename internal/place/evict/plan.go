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
	Cost    float64
	Each    shape.Resources
	Workers []int
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
			plan, fits := s.unit(u)
			if fits && (!ok || plan.Cost < best.Cost) {
				best, ok = plan, true
			}
			return true
		})
	}
	return best, ok
}

// space is the simulated state of one unit.
type space struct {
	search  Search
	cells   []cell
	total   int
	workers []int
}

// cell is the simulated state of one worker; it is part of the unit if its mark is the search's present one.
type cell struct {
	mark  int
	free  shape.Resources
	limit shape.Resources
	fits  int
}

// Scratch is memory that searches use again and again; one search at a time may have it.
type Scratch struct {
	cells []cell
	mark  int
}

// reset makes the scratch ready for another unit.
func (s *Scratch) reset(workers int) []cell {
	if len(s.cells) < workers {
		s.cells = make([]cell, workers)
	}
	s.mark++
	return s.cells
}

func (s Search) unit(u fleet.Unit) (Plan, bool) {
	if s.possible(u) < s.Shape.Members {
		return Plan{}, false
	}
	room := space{search: s, cells: s.Scratch.reset(len(s.Fleet.Workers))}
	room.load(u)
	chosen := room.evict(s.victims(room.workers))
	if room.total < s.Shape.Members {
		return Plan{}, false
	}
	chosen = room.spare(chosen)
	plan := Plan{Workers: room.place(), Victims: chosen}
	for _, v := range chosen {
		plan.Cost += v.Cost
	}
	return plan, true
}

func (r *space) load(u fleet.Unit) {
	r.workers = make([]int, 0, len(u.Workers))
	for _, w := range u.Workers {
		limit, ok := r.search.Limit(w)
		if !ok {
			continue
		}
		r.workers = append(r.workers, w)
		r.cells[w] = cell{mark: r.search.Scratch.mark, limit: limit}
		r.set(w, r.search.Fleet.Workers[w].Free)
	}
}

// known reports whether the worker is part of the unit.
func (r *space) known(w int) bool { return r.cells[w].mark == r.search.Scratch.mark }

// set records what is free on a worker and keeps the count of members that fit.
func (r *space) set(w int, free shape.Resources) {
	c := &r.cells[w]
	fits := r.search.Shape.Resources.Count(free.Min(c.limit), r.search.Shape.Members)
	c.free = free
	r.total += fits - c.fits
	c.fits = fits
}

// possible is an upper bound of the members that fit if everything else were stopped.
func (s Search) possible(u fleet.Unit) int {
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

func (r *space) evict(victims []Victim) []Victim {
	var chosen []Victim
	for _, v := range victims {
		if r.total >= r.search.Shape.Members {
			break
		}
		before := r.total
		r.change(v, 1)
		if r.total == before && !r.helps(v) {
			r.change(v, -1)
			continue
		}
		chosen = append(chosen, v)
	}
	return chosen
}

// helps reports whether the victim frees anything on a worker whose limit could hold a member.
func (r *space) helps(v Victim) bool {
	for _, w := range v.Workers {
		if r.known(w) && r.search.Shape.Resources.Count(r.cells[w].limit, 1) > r.cells[w].fits {
			return true
		}
	}
	return false
}

// change frees (sign 1) or takes back (sign -1) what a victim holds in the unit.
func (r *space) change(v Victim, sign int) {
	for _, w := range v.Workers {
		if r.known(w) {
			r.set(w, r.cells[w].free.Add(v.Each.Times(sign)))
		}
	}
}

// spare drops the victims that turned out not to be needed, the dearest first.
func (r *space) spare(chosen []Victim) []Victim {
	needed := chosen[:0:0]
	for i := len(chosen) - 1; i >= 0; i-- {
		r.change(chosen[i], -1)
		if r.total >= r.search.Shape.Members {
			continue
		}
		r.change(chosen[i], 1)
		needed = append(needed, chosen[i])
	}
	return needed
}

// place takes the workers that fit, the tightest first.
func (r *space) place() []int {
	members := r.search.Shape.Members
	sort.SliceStable(r.workers, func(i, j int) bool {
		return r.cells[r.workers[i]].free.Accelerators < r.cells[r.workers[j]].free.Accelerators
	})
	placed := make([]int, 0, members)
	for _, w := range r.workers {
		for range min(r.cells[w].fits, members-len(placed)) {
			placed = append(placed, w)
		}
	}
	return placed
}
