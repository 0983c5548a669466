package sets

import (
	"cmp"
	"slices"
	"time"
)

// slot is a worker with the number of tasks that fit.
type slot struct {
	worker *Worker
	fits   int
	free   Room
	// most is how many tasks of the set the worker may get however much is free.
	most int
	// kept is true if the worker's rack is kept for others and the set may only use it for want of any other place.
	kept bool
}

// offer is where the tasks of a set may go.
type offer struct {
	// slots are grouped by rack.
	slots []slot
	// total is how many tasks fit into all slots together.
	total int
	// inRack is true if the set must stay within a rack, as one of them could hold it if it were empty. For a while, workers
	// count for that which get no tasks only at the moment, as right after a change of owner.
	inRack bool
}

// find places all tasks of the set on what is free, one worker for each, or returns nil.
func (e *Engine) find(s *Set, now time.Time) []*Worker {
	o := e.offer(s, now)
	o.slots = slices.DeleteFunc(o.slots, func(sl slot) bool { return sl.fits == 0 })
	if o.total < s.Count {
		return nil
	}
	return o.choose(s)
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

// search gathers the places that a set may have.
type search struct {
	set     *Set
	patient bool
	slots   []slot
	// barred is true once a rack was seen that is kept for others.
	barred bool
	// outside is how many tasks the open workers of other racks could hold if they were empty.
	outside int
	// most and mostKept are the most tasks that any one rack could hold, of the other racks and of those kept for others.
	most     int
	mostKept int
}

// offer lists the workers on which a task of the set may start, also those that are full; it holds until the next call.
func (e *Engine) offer(s *Set, now time.Time) offer {
	step := s.step()
	tight := step.SameRack && s.Count > 1
	near := e.nearOnly(s, now)
	found := search{set: s, patient: tight && e.patient(s, now), slots: e.slotBuffer[:0]}
	for _, r := range e.racks {
		if !near || r.name == step.Affinity {
			e.searchRack(&found, r)
		}
	}
	e.slotBuffer = found.slots
	if found.barred && found.outside >= s.Count {
		found.slots = slices.DeleteFunc(found.slots, func(sl slot) bool { return sl.kept })
		found.mostKept = 0
	}
	o := offer{slots: found.slots, inRack: tight && max(found.most, found.mostKept) >= s.Count}
	for _, sl := range o.slots {
		o.total += sl.fits
	}
	return o
}

// searchRack adds the rack's workers.
func (e *Engine) searchRack(found *search, r *rack) {
	s := found.set
	kept := e.barred(s, r)
	found.barred = found.barred || kept
	holds := 0
	for _, w := range r.workers {
		if !w.open && (!found.patient || e.Closed(w)) || !w.suits(s) {
			continue
		}
		bound := w.boundFor(s)
		empty := s.room().Count(w.Capacity, bound)
		holds += empty
		if empty == 0 || !w.open {
			continue
		}
		if !kept {
			found.outside += empty
		}
		free := w.freeFor(s)
		found.slots = append(found.slots, slot{worker: w, fits: s.room().Count(free, bound), free: free, most: bound, kept: kept})
	}
	if kept {
		found.mostKept = max(found.mostKept, holds)
		return
	}
	found.most = max(found.most, holds)
}

// suits reports whether the set may ever run on the worker: it is of the right service and carries the label, and no run of
// the set has failed there.
func (w *Worker) suits(s *Set) bool {
	return w.Service == s.Job.rules.Service && w.has(s.step().Requires) && !slices.Contains(s.soured, w)
}

// boundFor is how many tasks of the set the worker may get however much is free.
func (w *Worker) boundFor(s *Set) int {
	if per := s.step().MaxPerWorker; per > 0 {
		return min(s.Count, per-w.membersOf(s))
	}
	return s.Count
}

// patient reports whether waiting for a place near its data, or in one rack, still costs the set less than running three
// times as long elsewhere.
func (e *Engine) patient(s *Set, now time.Time) bool {
	return now.Sub(s.readyAt) <= time.Duration((e.cfg.RemoteFactor-1)*float64(s.step().Estimate))
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

// nearOnly reports whether the set should wait for the rack that holds its data.
//
// Workers count that get no tasks only at the moment.
func (e *Engine) nearOnly(s *Set, now time.Time) bool {
	step := s.step()
	if step.Affinity == "" {
		return false
	}
	r := e.onRack(step.Affinity)
	if r == nil || !e.patient(s, now) {
		return false
	}
	could := 0
	for _, w := range r.workers {
		if !e.Closed(w) && !slices.Contains(s.soured, w) {
			could += s.room().Count(w.Capacity, s.Count)
		}
	}
	return could >= s.Count
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
	slices.SortStableFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.free.Accelerators, b.free.Accelerators), cmp.Compare(a.free.MilliCores, b.free.MilliCores))
	})
	workers := make([]*Worker, 0, count)
	for _, sl := range slots {
		for range min(sl.fits, count-len(workers)) {
			workers = append(workers, sl.worker)
		}
	}
	return workers
}
