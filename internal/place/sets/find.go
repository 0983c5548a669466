package sets

import (
	"cmp"
	"slices"
)

// slot is a worker with the number of tasks that fit.
type slot struct {
	worker *Worker
	fits   int
	free   Room
	// most is how many tasks of the set the worker may get however much is free.
	most int
}

// offer is where the tasks of a set may go.
type offer struct {
	// slots are grouped by rack.
	slots []slot
	// total is how many tasks fit into all slots together.
	total int
	// inRack is true if the set must stay within a rack.
	inRack bool
	// room is true if any worker has room for a task, also where the step's bound on each worker forbids it.
	room bool
}

// find places all tasks of the set on what is free, one worker for each, or returns nil.
func (e *Engine) find(s *Set, sc scope) []*Worker {
	o := e.roomy(s, sc)
	if o.total < s.Count {
		return nil
	}
	return o.choose(s)
}

// roomy lists the workers that have room for a task of the set now; it holds until the next call.
func (e *Engine) roomy(s *Set, sc scope) offer {
	o := offer{slots: e.slotBuffer[:0], inRack: sc.inRack}
	if sc.near {
		o.addRoomy(e, s, sc, e.onRack(s.step().Affinity).workers)
	} else {
		for level := s.room().Accelerators; level < len(e.stock.levels); level++ {
			o.addRoomy(e, s, sc, e.stock.levels[level])
		}
		slices.SortFunc(o.slots, func(a, b slot) int { return cmp.Compare(a.worker.place, b.worker.place) })
	}
	e.slotBuffer = o.slots
	return o
}

// addRoomy adds those of the workers that have room.
func (o *offer) addRoomy(e *Engine, s *Set, sc scope, workers []*Worker) {
	for _, w := range workers {
		e.visited++
		if !w.open || !sc.keptToo && e.barred(s, w.rack) || !w.suits(s) {
			continue
		}
		sl := w.slotFor(s)
		o.room = o.room || s.room().Count(sl.free, 1) > 0
		if sl.fits > 0 {
			o.slots = append(o.slots, sl)
			o.total += sl.fits
		}
	}
}

// offer lists the workers on which a task of the set may start, also those that are full; it holds until the next call.
func (e *Engine) offer(s *Set, sc scope) offer {
	o := offer{slots: e.slotBuffer[:0], inRack: sc.inRack}
	for _, r := range e.racks {
		if sc.near && r.name != s.step().Affinity || !sc.keptToo && e.barred(s, r) {
			continue
		}
		for _, w := range r.workers {
			e.visited++
			if !w.open || !w.suits(s) {
				continue
			}
			sl := w.slotFor(s)
			if s.room().Count(w.Capacity, sl.most) == 0 {
				continue
			}
			o.slots = append(o.slots, sl)
			o.total += sl.fits
		}
	}
	e.slotBuffer = o.slots
	return o
}

// slotFor returns the room on the worker for tasks of the set's step.
func (w *Worker) slotFor(s *Set) slot {
	sl := slot{worker: w, free: w.freeFor(s), most: s.step().Count}
	if per := s.step().MaxPerWorker; per > 0 {
		sl.most = min(sl.most, per-w.membersOf(s))
	}
	sl.fits = s.room().Count(sl.free, sl.most)
	return sl
}

// choose takes workers for all tasks of the set, or returns nil.
func (o *offer) choose(s *Set) []*Worker {
	for _, choice := range bySpeed(s, o.slots, s.Job.rules.Priority == 0) {
		workers := []*Worker(nil)
		if o.inRack {
			workers = findInRack(s, choice)
		} else {
			workers = fill(choice, s.Count)
		}
		if workers != nil {
			return workers
		}
	}
	return nil
}

// byRack splits slots, which are grouped by rack.
func byRack(slots []slot) [][]slot {
	var groups [][]slot
	for from := 0; from < len(slots); {
		to := from + 1
		for to < len(slots) && slots[to].worker.rack == slots[from].worker.rack {
			to++
		}
		groups = append(groups, slots[from:to])
		from = to
	}
	return groups
}

// membersOf counts the members of the set's step on the worker.
func (w *Worker) membersOf(s *Set) int {
	n := 0
	for _, m := range w.members {
		if other := m.Run.Set; other.turn == s.turn && other.Step == s.Step {
			n++
		}
	}
	return n
}

// findInRack uses the rack with the least room that holds the whole set.
func findInRack(s *Set, slots []slot) []*Worker {
	var best []slot
	least := 0
	for _, group := range byRack(slots) {
		room, fits := 0, 0
		for _, sl := range group {
			room += sl.free.Accelerators
			fits += sl.fits
		}
		if fits >= s.Count && (best == nil || room < least) {
			best, least = group, room
		}
	}
	return fill(best, s.Count)
}

// fill takes the fullest workers first, so that whole ones stay free for large tasks.
func fill(slots []slot, count int) []*Worker {
	total := 0
	for _, sl := range slots {
		total += sl.fits
	}
	if total < count {
		return nil
	}
	slices.SortStableFunc(slots, fullestFirst)
	workers := make([]*Worker, 0, count)
	for _, sl := range slots {
		for range min(sl.fits, count-len(workers)) {
			workers = append(workers, sl.worker)
		}
	}
	return workers
}

// fullestFirst orders slots by what is free.
func fullestFirst(a, b slot) int {
	return cmp.Or(cmp.Compare(a.free.Accelerators, b.free.Accelerators), cmp.Compare(a.free.MilliCores, b.free.MilliCores))
}
