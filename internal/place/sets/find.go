package sets

import (
	"cmp"
	"slices"
	"time"
)

// view is how much of a worker a search may use.
type view func(w *Worker) Room

func (e *Engine) emptyView(w *Worker) Room { return w.Capacity }

// freeView offers what is free for the set.
func (e *Engine) freeView(s *Set) view {
	q := e.queue(s.Job)
	return func(w *Worker) Room { return w.freeFor(q) }
}

// slot is a worker with the number of tasks that fit.
type slot struct {
	worker *Worker
	fits   int
	free   Room
	// kept is true if the worker's rack is kept for others and the set may only use it for want of any other place.
	kept bool
}

// find places all tasks of the set, one worker for each, or returns nil.
func (e *Engine) find(s *Set, v view, now time.Time) []*Worker {
	slots := e.slots(s, v, now)
	step := s.step()
	inRack := step.SameRack && s.Count > 1 && e.rackCouldHold(s, now)
	for _, choice := range bySpeed(s, slots, e.queue(s.Job).Priority == 0) {
		workers := []*Worker(nil)
		if inRack {
			workers = e.findInRack(s, choice)
		} else {
			workers = fill(choice, s.Count)
		}
		if workers != nil {
			return workers
		}
	}
	return nil
}

// slots lists the workers on which at least one task of the set may start.
func (e *Engine) slots(s *Set, v view, now time.Time) []slot {
	step, room, service := s.step(), s.room(), e.queue(s.Job).Service
	near := e.nearOnly(s, now)
	list := make([]slot, 0, len(e.order))
	outside, barred := 0, false
	for _, w := range e.order {
		if w.Service != service || !w.has(step.Requires) || !e.usable(w, now) || near && w.Rack != step.Affinity {
			continue
		}
		most := s.Count
		if step.MaxPerWorker > 0 {
			most = min(most, step.MaxPerWorker-w.membersOf(s))
		}
		kept := e.barred(s, w.Rack)
		barred = barred || kept
		if !kept {
			outside += room.Count(w.Capacity, most)
		}
		if fits := room.Count(v(w), most); fits > 0 && !slices.Contains(s.soured, w) {
			list = append(list, slot{worker: w, fits: fits, free: v(w), kept: kept})
		}
	}
	if !barred || outside < s.Count {
		return list
	}
	return slices.DeleteFunc(list, func(sl slot) bool { return sl.kept })
}

// membersOf counts the members of the set's step on the worker.
func (w *Worker) membersOf(s *Set) int {
	n := 0
	for _, m := range w.members {
		if other := m.Run.Set; other.Job == s.Job && other.Step == s.Step {
			n++
		}
	}
	return n
}

// nearOnly reports whether the set should wait for the rack that holds its data.
//
// Waiting pays for as long as it costs less than the slower run elsewhere would.
func (e *Engine) nearOnly(s *Set, now time.Time) bool {
	step := s.step()
	if step.Affinity == "" {
		return false
	}
	patience := time.Duration((e.cfg.RemoteFactor - 1) * float64(step.Estimate))
	if now.Sub(s.readyAt) > patience {
		return false
	}
	could := 0
	for _, w := range e.order {
		if w.Rack == step.Affinity && e.usable(w, now) && !slices.Contains(s.soured, w) {
			could += s.room().Count(w.Capacity, s.Count)
		}
	}
	return could >= s.Count
}

// rackCouldHold reports whether any rack could hold the whole set if it were empty.
func (e *Engine) rackCouldHold(s *Set, now time.Time) bool {
	perRack := make(map[string]int)
	for _, sl := range e.slots(s, e.emptyView, now) {
		perRack[sl.worker.Rack] += sl.fits
		if perRack[sl.worker.Rack] >= s.Count {
			return true
		}
	}
	return false
}

// findInRack uses the rack with the least room that holds the whole set.
func (e *Engine) findInRack(s *Set, slots []slot) []*Worker {
	racks := make(map[string][]slot)
	names := make([]string, 0, len(slots))
	for _, sl := range slots {
		if racks[sl.worker.Rack] == nil {
			names = append(names, sl.worker.Rack)
		}
		racks[sl.worker.Rack] = append(racks[sl.worker.Rack], sl)
	}
	var best []*Worker
	least := 0
	for _, name := range names {
		room := 0
		for _, sl := range racks[name] {
			room += sl.free.Accelerators
		}
		if best != nil && room >= least {
			continue
		}
		if workers := fill(racks[name], s.Count); workers != nil {
			best, least = workers, room
		}
	}
	return best
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
