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
	maxTasks int
}

// offer is where the tasks of a set may go.
type slotList struct {
	// slots are grouped by rack.
	slots []slot
	// total is how many tasks fit into all slots together.
	totalFits int
	// inRack is true if the set must stay within a rack.
	sameRack bool
	// room is true if any worker has room for a task, also where the step's bound on each worker forbids it.
	anyRoom bool
}

// find places all tasks of the set on what is free, one worker for each, or returns nil.
func (e *Engine) findWorkers(g *Group, f filter) []*Worker {
	list := e.listFreeSlots(g, f)
	if list.totalFits < g.Count {
		return nil
	}
	return list.chooseWorkers(g)
}

// roomy lists the workers that have room for a task of the set now; it holds until the next call.
func (e *Engine) listFreeSlots(g *Group, f filter) slotList {
	list := slotList{slots: e.slotBuffer[:0], sameRack: f.sameRack}
	if f.dataRackOnly {
		list.addFreeSlots(e, g, f, e.rackByName(g.step().Affinity).workers)
	} else {
		for level := g.taskNeed().Accelerators; level < len(e.freeIndex.levels); level++ {
			list.addFreeSlots(e, g, f, e.freeIndex.levels[level])
		}
		slices.SortFunc(list.slots, func(a, b slot) int { return cmp.Compare(a.worker.position, b.worker.position) })
	}
	e.slotBuffer = list.slots
	return list
}

// addRoomy adds those of the workers that have room.
func (list *slotList) addFreeSlots(e *Engine, g *Group, f filter, workers []*Worker) {
	for _, w := range workers {
		e.examined++
		if !w.open || !f.quickRacksToo && e.excludesRack(g, w.rack) || !w.eligible(g) {
			continue
		}
		sl := w.slotFor(g)
		list.anyRoom = list.anyRoom || g.taskNeed().Count(sl.free, 1) > 0
		if sl.fits > 0 {
			list.slots = append(list.slots, sl)
			list.totalFits += sl.fits
		}
	}
}

// offer lists the workers on which a task of the set may start, also those that are full; it holds until the next call.
func (e *Engine) listSlots(g *Group, f filter) slotList {
	list := slotList{slots: e.slotBuffer[:0], sameRack: f.sameRack}
	for _, r := range e.racks {
		if f.dataRackOnly && r.name != g.step().Affinity || !f.quickRacksToo && e.excludesRack(g, r) {
			continue
		}
		for _, w := range r.workers {
			e.examined++
			if !w.open || !w.eligible(g) {
				continue
			}
			sl := w.slotFor(g)
			if g.taskNeed().Count(w.Capacity, sl.maxTasks) == 0 {
				continue
			}
			list.slots = append(list.slots, sl)
			list.totalFits += sl.fits
		}
	}
	e.slotBuffer = list.slots
	return list
}

// slotFor returns the room on the worker for tasks of the set's step.
func (w *Worker) slotFor(g *Group) slot {
	sl := slot{worker: w, free: w.freeFor(g), maxTasks: g.step().Count}
	if limit := g.step().MaxPerWorker; limit > 0 {
		sl.maxTasks = min(sl.maxTasks, limit-w.membersOfStep(g))
	}
	sl.fits = g.taskNeed().Count(sl.free, sl.maxTasks)
	return sl
}

// choose takes workers for all tasks of the set, or returns nil.
func (list *slotList) chooseWorkers(g *Group) []*Worker {
	for _, choice := range choicesBySpeed(g, list.slots, g.Job.queue.Priority == 0) {
		workers := []*Worker(nil)
		if list.sameRack {
			workers = fillTightestRack(g, choice)
		} else {
			workers = fillSlots(choice, g.Count)
		}
		if workers != nil {
			return workers
		}
	}
	return nil
}

// byRack splits slots, which are grouped by rack.
func splitByRack(slots []slot) [][]slot {
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
func (w *Worker) membersOfStep(g *Group) int {
	n := 0
	for _, m := range w.members {
		if other := m.Run.Group; other.occ == g.occ && other.Step == g.Step {
			n++
		}
	}
	return n
}

// findInRack uses the rack with the least room that holds the whole set.
func fillTightestRack(g *Group, slots []slot) []*Worker {
	var best []slot
	smallest := 0
	for _, rackSlots := range splitByRack(slots) {
		free, fits := 0, 0
		for _, sl := range rackSlots {
			free += sl.free.Accelerators
			fits += sl.fits
		}
		if fits >= g.Count && (best == nil || free < smallest) {
			best, smallest = rackSlots, free
		}
	}
	return fillSlots(best, g.Count)
}

// fill takes the fullest workers first, so that whole ones stay free for large tasks.
func fillSlots(slots []slot, count int) []*Worker {
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
