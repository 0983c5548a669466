package group

import (
	"cmp"
	"slices"
)

// slot is a worker with the number of tasks that fit on it.
type slot struct {
	worker *Worker
	fits   int
	free   Resources
	// maxTasks is how many tasks of the group the worker may get regardless of free room.
	maxTasks int
}

// slotList lists where the tasks of a group may go.
type slotList struct {
	// slots are grouped by rack.
	slots []slot
	// totalFits is how many tasks fit into all slots together.
	totalFits int
	// sameRack is true if the group must stay within one rack.
	sameRack bool
	// anyRoom is true if any worker has room for a task, even if the step's limit per worker forbids it.
	anyRoom bool
}

// findWorkers returns one worker with free room for each task of the group, or nil if not all tasks fit.
func (e *Engine) findWorkers(g *Group, f filter) []*Worker {
	list := e.listFreeSlots(g, f)
	if list.totalFits < g.Count {
		return nil
	}
	return list.chooseWorkers(g, f)
}

// listFreeSlots lists the workers that have room for a task of the group now; the result is valid until the next search.
func (e *Engine) listFreeSlots(g *Group, f filter) slotList {
	list := slotList{slots: e.slotBuffer[:0], sameRack: f.sameRack}
	if f.dataRackOnly {
		list.addFreeSlots(e, g, f, e.rackByName(g.step().Affinity).workers)
	} else if f.overdue {
		for _, r := range e.racks {
			list.addFreeSlots(e, g, f, r.workers)
		}
	} else {
		for _, workers := range e.freeIndex.atLeast(g.taskNeed().Accelerators) {
			list.addFreeSlots(e, g, f, workers)
		}
		slices.SortFunc(list.slots, func(a, b slot) int { return cmp.Compare(a.worker.position, b.worker.position) })
	}
	e.slotBuffer = list.slots
	return list
}

// addFreeSlots adds those of the workers that have room.
func (list *slotList) addFreeSlots(e *Engine, g *Group, f filter, workers []*Worker) {
	for _, w := range workers {
		e.examined++
		if !w.openFor(f) || f.emptiestFirst && !w.allowsProbation() || !f.quickRacksToo && e.excludesRack(g, w.rack) || !f.allows(g, w) {
			continue
		}
		sl := w.slotFor(g, f)
		list.anyRoom = list.anyRoom || g.taskNeed().Count(sl.free, 1) > 0
		if sl.fits > 0 {
			list.slots = append(list.slots, sl)
			list.totalFits += sl.fits
		}
	}
}

// openFor reports whether tasks with the filter may be placed on the worker in the current decision.
func (w *Worker) openFor(f filter) bool {
	return w.open || f.overdue && w.spare
}

// listSlots lists the workers on which a task of the group may start, including full ones; the result is valid until the
// next search.
func (e *Engine) listSlots(g *Group, f filter) slotList {
	list := slotList{slots: e.slotBuffer[:0], sameRack: f.sameRack}
	for _, r := range e.racks {
		if f.dataRackOnly && r.name != g.step().Affinity || !f.quickRacksToo && e.excludesRack(g, r) {
			continue
		}
		for _, w := range r.workers {
			e.examined++
			if !w.open || !f.allows(g, w) {
				continue
			}
			sl := w.slotFor(g, f)
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

// slotFor returns the room on the worker for tasks of the group's step.
func (w *Worker) slotFor(g *Group, f filter) slot {
	sl := slot{worker: w, free: w.freeFor(g, f), maxTasks: g.step().Count}
	if limit := g.step().MaxPerWorker; limit > 0 {
		sl.maxTasks = min(sl.maxTasks, limit-w.membersOfStep(g))
	}
	sl.fits = g.taskNeed().Count(sl.free, sl.maxTasks)
	return sl
}

// chooseWorkers returns a worker for each task of the group, or nil if not all tasks fit.
func (list *slotList) chooseWorkers(g *Group, f filter) []*Worker {
	for _, choice := range choicesBySpeed(g, list.slots, list.sameRack) {
		workers := []*Worker(nil)
		if list.sameRack {
			workers = fillTightestRack(g, choice, f)
		} else {
			workers = fillSlots(choice, g.Count, f)
		}
		if workers != nil {
			return workers
		}
	}
	return nil
}

// splitByRack splits slots, which are grouped by rack, into one slice for each rack.
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

// membersOfStep counts the members on the worker that belong to the group's step and occurrence.
func (w *Worker) membersOfStep(g *Group) int {
	n := 0
	for _, m := range w.members {
		if other := m.Run.Group; other.occ == g.occ && other.Step == g.Step {
			n++
		}
	}
	return n
}

// fillTightestRack uses the rack with the fewest free accelerators that holds the whole group, or returns nil.
func fillTightestRack(g *Group, slots []slot, f filter) []*Worker {
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
	return fillSlots(best, g.Count, f)
}

// fillSlots uses the slots in the filter's order.
func fillSlots(slots []slot, count int, f filter) []*Worker {
	total := 0
	for _, sl := range slots {
		total += sl.fits
	}
	if total < count {
		return nil
	}
	slices.SortStableFunc(slots, f.compare)
	workers := make([]*Worker, 0, count)
	for _, sl := range slots {
		for range min(sl.fits, count-len(workers)) {
			workers = append(workers, sl.worker)
		}
	}
	return workers
}

// compare orders the fullest workers first, so that empty ones stay free for large tasks, or the emptiest.
func (f filter) compare(a, b slot) int {
	if f.emptiestFirst {
		return fullestFirst(b, a)
	}
	return fullestFirst(a, b)
}

// fullestFirst orders slots by free accelerators, then free cores.
func fullestFirst(a, b slot) int {
	return cmp.Or(cmp.Compare(a.free.Accelerators, b.free.Accelerators), cmp.Compare(a.free.MilliCores, b.free.MilliCores))
}
