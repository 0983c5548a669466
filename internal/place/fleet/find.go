package fleet

import (
	"sort"

	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// View says how much of a worker a search may use; a worker that may not be used yields ok false.
type View func(worker int) (avail shape.Resources, ok bool)

// Unit is the set of workers that must hold all members of a shape.
type Unit struct {
	DataCentre int
	Workers    []int
}

// Units calls visit for every unit of the data centre for the scope until visit returns false.
func (f *Fleet) Units(centre int, within shape.Within, visit func(Unit) bool) {
	d := &f.DataCentres[centre]
	switch within {
	case shape.Worker:
		for i := range d.Workers {
			if !visit(Unit{DataCentre: centre, Workers: d.Workers[i : i+1]}) {
				return
			}
		}
	case shape.Rack:
		for _, r := range d.Racks {
			if !visit(Unit{DataCentre: centre, Workers: f.Racks[r].Workers}) {
				return
			}
		}
	default:
		visit(Unit{DataCentre: centre, Workers: d.Workers})
	}
}

// candidate is one worker with the number of members that fit.
type candidate struct {
	worker     int
	fits       int
	avail      shape.Resources
	guaranteed int
}

// Fill places all members of the shape in the unit, or returns nil.
// The tight order uses the fullest workers first, so that empty ones stay whole; else the given order is kept.
func (f *Fleet) Fill(u Unit, s shape.Shape, view View, tight bool) []int {
	total := 0
	found := make([]candidate, 0, 8)
	for _, w := range u.Workers {
		avail, ok := view(w)
		if !ok {
			continue
		}
		fits := s.Resources.Count(avail, s.Members)
		if fits == 0 {
			continue
		}
		total += fits
		worker := &f.Workers[w]
		found = append(found, candidate{worker: w, fits: fits, avail: avail, guaranteed: worker.Guaranteed.Accelerators})
		if total >= s.Members && !tight {
			break
		}
	}
	if total < s.Members {
		return nil
	}
	if tight {
		sortTight(found)
	}
	return assignMembers(found, s.Members)
}

// sortTight puts workers first that leave the least usable rest behind.
func sortTight(found []candidate) {
	sort.SliceStable(found, func(i, j int) bool {
		a, b := found[i], found[j]
		if a.guaranteed != b.guaranteed {
			return a.guaranteed < b.guaranteed
		}
		if a.avail.Accelerators != b.avail.Accelerators {
			return a.avail.Accelerators < b.avail.Accelerators
		}
		return a.avail.Cores < b.avail.Cores
	})
}

func assignMembers(found []candidate, members int) []int {
	workers := make([]int, 0, members)
	for _, c := range found {
		for range min(c.fits, members-len(workers)) {
			workers = append(workers, c.worker)
		}
		if len(workers) == members {
			break
		}
	}
	return workers
}

// Find returns one worker per member for the shape in one of the data centres, or nil.
// The first fit takes the first unit; the best fit takes the unit whose rest is the least useful to others.
func (f *Fleet) Find(centres []int, s shape.Shape, view View, best bool) []int {
	var chosen []int
	var score unitScore
	for _, centre := range centres {
		f.Units(centre, s.Within, func(u Unit) bool {
			workers := f.Fill(u, s, view, best)
			if workers == nil {
				return true
			}
			if rated := f.scoreUnit(u, workers, view); chosen == nil || rated.less(score) {
				chosen, score = workers, rated
			}
			return best
		})
		if chosen != nil && !best {
			return chosen
		}
	}
	return chosen
}

// unitScore orders units: least lent guarantee capacity first, then least free capacity left over.
type unitScore struct {
	guaranteed       int
	freeAccelerators int
	freeCores        int
}

func (a unitScore) less(b unitScore) bool {
	if a.guaranteed != b.guaranteed {
		return a.guaranteed < b.guaranteed
	}
	if a.freeAccelerators != b.freeAccelerators {
		return a.freeAccelerators < b.freeAccelerators
	}
	return a.freeCores < b.freeCores
}

func (f *Fleet) scoreUnit(u Unit, chosen []int, view View) unitScore {
	var score unitScore
	previous := -1
	for _, w := range chosen {
		if w == previous {
			continue
		}
		previous = w
		score.guaranteed += f.Workers[w].Guaranteed.Accelerators
	}
	for _, w := range u.Workers {
		if avail, ok := view(w); ok {
			score.freeAccelerators += avail.Accelerators
			score.freeCores += avail.Cores
		}
	}
	return score
}

// EmptyView offers each worker of the fleet as if nothing ran on it and nothing had failed.
func (f *Fleet) EmptyView() View {
	return func(w int) (shape.Resources, bool) { return f.Workers[w].Capacity, true }
}

// FreeView offers what is free on workers that may be used.
func (f *Fleet) FreeView() View {
	return func(w int) (shape.Resources, bool) {
		worker := &f.Workers[w]
		return worker.Free, worker.Usable()
	}
}

// UnpromisedView offers free capacity that no guarantee has a claim on.
func (f *Fleet) UnguaranteedView() View {
	return func(w int) (shape.Resources, bool) {
		worker := &f.Workers[w]
		unguaranteed := worker.Capacity.Sub(worker.Guaranteed).Sub(worker.Pinned)
		return worker.Free.Min(unguaranteed), worker.Usable()
	}
}

// LargestFree returns the most members of the shape that any one unit of the data centre could hold now, and where.
func (f *Fleet) LargestFree(centre int, s shape.Shape) (members int, where string) {
	view := f.FreeView()
	f.Units(centre, s.Within, func(u Unit) bool {
		n := 0
		for _, w := range u.Workers {
			if avail, ok := view(w); ok {
				n += s.Resources.Count(avail, s.Members)
			}
		}
		if n > members {
			members, where = n, f.unitName(u, s.Within)
		}
		return true
	})
	return min(members, s.Members), where
}

func (f *Fleet) unitName(u Unit, within shape.Within) string {
	switch within {
	case shape.Worker:
		return f.Workers[u.Workers[0]].Name
	case shape.Rack:
		return f.Racks[f.Workers[u.Workers[0]].Rack].Name
	default:
		return f.DataCentres[u.DataCentre].Name
	}
}

// EmptyUsableView offers the whole of each worker that may be used.
func (f *Fleet) EmptyUsableView() View {
	return func(w int) (shape.Resources, bool) {
		worker := &f.Workers[w]
		return worker.Capacity, worker.Usable()
	}
}
