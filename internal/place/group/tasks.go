package group

import (
	"slices"
	"time"
)

// taskSlots are the slots for single tasks of one step, in the order in which they are used.
type taskSlots struct {
	slots []slot
	// next is the index of the first slot that may have room.
	next int
	// anyRoom is true if any worker had room for a task, even if the step's limit per worker forbids it.
	anyRoom bool
}

// placeTasks plans runs for the waiting tasks of a step. They differ only in the workers on which they failed and in how
// long they have waited, so they share searches.
func (e *Engine) placeTasks(step waitingStep, p *pass, now time.Time) {
	searches := make(map[filter]*taskSlots, 1)
	interchangeable := step.occ.job.queue.Priority != 0 && step.occ.job.Spec.Steps[step.step].Affinity == ""
	full := false
	for _, g := range step.groups() {
		if full && !e.overdue(g, now) {
			continue
		}
		if g.Run != nil || g.reservation != nil || g.record().Done || g.heldAsSuspect(now) {
			continue
		}
		if e.heldByCap(g, p, now) {
			return
		}
		f := e.newFilter(g, p, false, now)
		placed := e.placeTask(g, f, searches, p, now)
		if !placed && g.mayRetryFailed(now) {
			f = e.newFilter(g, p, true, now)
			placed = e.placeTask(g, f, searches, p, now)
		}
		if !placed && e.overdue(g, now) {
			f = e.overdueFilter(g, p, now)
			placed = e.placeTask(g, f, searches, p, now)
		}
		if placed || full {
			continue
		}
		if e.makeRoom(g, f, p, now) {
			// The reservation includes room that the searches had found.
			clear(searches)
			continue
		}
		// Those that come later in the step have no room either, unless they are long-running and overdue, and this one is not.
		full = interchangeable && !g.hasFailed() && !f.emptiestFirst
		if full && (f.overdue || !g.step().LongRunning) {
			return
		}
	}
}

// placeTask plans a run of the group, a single task, if there is room, and reports whether it did.
func (e *Engine) placeTask(g *Group, f filter, searches map[filter]*taskSlots, p *pass, now time.Time) bool {
	if !p.mayFit(g, f) {
		return false
	}
	ts := searches[f]
	if ts == nil {
		ts = e.searchTaskSlots(g, f)
		searches[f] = ts
	}
	if w := ts.take(g, f); w != nil {
		e.planRun(g, []*Worker{w}, FreeRoom, "free room", now)
		return true
	}
	if !ts.anyRoom || ts.next == len(ts.slots) && g.step().MaxPerWorker == 0 {
		p.missed(g, f)
	}
	return false
}

// searchTaskSlots searches for room for the tasks of the group's step. The fullest workers come first, so that empty ones
// stay free for large tasks, unless the group is suspected of a crash; workers that the group does not prefer by their speed come last.
func (e *Engine) searchTaskSlots(g *Group, f filter) *taskSlots {
	// The search includes workers on which this task has failed, as they may suit the other tasks.
	all := f
	all.retryFailed = true
	list := e.listFreeSlots(g, all)
	slots := slices.Clone(list.slots)
	slices.SortStableFunc(slots, g.compareBySpeed(slots, f))
	return &taskSlots{slots: slots, anyRoom: list.anyRoom}
}

// take uses the first slot on a worker that the filter allows, or returns nil. It checks the room again, since other tasks of the
// step may have used it through the slots of another filter.
func (ts *taskSlots) take(g *Group, f filter) *Worker {
	for ts.next < len(ts.slots) && ts.slots[ts.next].fits == 0 {
		ts.next++
	}
	for i := ts.next; i < len(ts.slots); i++ {
		sl := &ts.slots[i]
		if sl.fits == 0 || !f.allows(g, sl.worker) {
			continue
		}
		if !sl.worker.openFor(f) || f.emptiestFirst && !sl.worker.allowsProbation() || sl.worker.slotFor(g, f).fits == 0 {
			sl.fits = 0
			continue
		}
		sl.fits--
		return sl.worker
	}
	return nil
}
