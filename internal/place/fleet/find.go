package fleet

import (
	"sort"

	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// View returns the capacity of a worker that a search may use; ok is false if the worker may not be used.
type View func(worker int) (avail shape.Resources, ok bool)

// Unit is the set of workers within which all members of a shape must be placed.
type Unit struct {
	DataCentre int
	Workers    []int
}

// Units calls visit for each worker or rack of the data centre, or once for all of it, depending on within; it ends early if
// visit returns false.
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

// candidate is a worker with the number of members that fit on it.
type candidate struct {
	worker     int
	fits       int
	avail      shape.Resources
	guaranteed int
}

// Fill returns one worker of the unit per member of the shape, or nil if they do not fit.
// If tight is set, it uses the fullest workers first, so that empty ones stay empty; else it keeps the order of the unit.
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

// sortTight sorts workers by guaranteed capacity and then by available capacity, the least first.
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
// It uses the first unit that fits or, if best is set, the unit with the least guaranteed and the least available capacity.
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

// unitScore orders units: the least guaranteed capacity on the chosen workers first, then the least available capacity.
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

// EmptyView offers the whole capacity of every worker, including those that are down or quarantined.
func (f *Fleet) EmptyView() View {
	return func(w int) (shape.Resources, bool) { return f.Workers[w].Capacity, true }
}

// FreeView offers the free capacity of usable workers.
func (f *Fleet) FreeView() View {
	return func(w int) (shape.Resources, bool) {
		worker := &f.Workers[w]
		return worker.Free, worker.Usable()
	}
}

// UnguaranteedView offers the free capacity of usable workers that no guarantee may reclaim.
func (f *Fleet) UnguaranteedView() View {
	return func(w int) (shape.Resources, bool) {
		worker := &f.Workers[w]
		unguaranteed := worker.Capacity.Sub(worker.Guaranteed).Sub(worker.Pinned)
		return worker.Free.Min(unguaranteed), worker.Usable()
	}
}

// LargestFree returns the maximum number of members that one unit of the data centre can hold now, and the unit's name.
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

// EmptyUsableView offers the whole capacity of usable workers.
func (f *Fleet) EmptyUsableView() View {
	return func(w int) (shape.Resources, bool) {
		worker := &f.Workers[w]
		return worker.Capacity, worker.Usable()
	}
}
