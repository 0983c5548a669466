package sets

import (
	"slices"
	"time"
)

// places is where single tasks of one step may go, in the order in which they are to be used.
type taskSlots struct {
	slots []slot
	// next is the first slot that may have room.
	next int
	// room is true if any worker had room for a task, also where the step's bound on each worker forbids it.
	anyRoom bool
}

// placeTasks plans runs for the tasks of a step that wait. They differ only in where they have failed and for how long they
// wait, so they share searches.
func (e *Engine) placeTasks(step waitingStep, p *pass, now time.Time) {
	searches := make(map[filter]*taskSlots, 1)
	interchangeable := step.occ.job.queue.Priority != 0 && step.occ.job.Spec.Steps[step.step].Affinity == ""
	for _, g := range step.groups() {
		if g.Run != nil || g.reservation != nil || g.record().Done {
			continue
		}
		f := e.newFilter(g, p, now)
		if e.placeTask(g, f, searches, p, now) {
			continue
		}
		if e.makeRoom(g, f, p, now) {
			// Room was claimed that the searches had found.
			clear(searches)
			continue
		}
		if interchangeable && len(g.failedOn) == 0 {
			return
		}
	}
}

// placeTask plans a run of the set, a single task, if there is room.
func (e *Engine) placeTask(g *Group, f filter, searches map[filter]*taskSlots, p *pass, now time.Time) bool {
	if !p.mayFit(g, f) {
		return false
	}
	ts := searches[f]
	if ts == nil {
		ts = e.searchTaskSlots(g, f)
		searches[f] = ts
	}
	if w := ts.take(g); w != nil {
		e.planRun(g, []*Worker{w}, "free room", now)
		return true
	}
	if !ts.anyRoom || ts.next == len(ts.slots) && g.step().MaxPerWorker == 0 {
		p.missed(g, f)
	}
	return false
}

// places searches for room for the tasks of the set's step: the fullest workers first, so that whole ones stay free for
// large tasks, but for quick jobs the fast ones before all others.
func (e *Engine) searchTaskSlots(g *Group, f filter) *taskSlots {
	// What one of the tasks has failed on may do for the others.
	sibling := &Group{Job: g.Job, Step: g.Step, occ: g.occ, Count: g.Count, recordIndex: g.recordIndex}
	list := e.listFreeSlots(sibling, f)
	slots := slices.Clone(list.slots)
	quick := g.Job.queue.Priority == 0
	slices.SortStableFunc(slots, func(a, b slot) int {
		if quick && a.worker.fast() != b.worker.fast() {
			if a.worker.fast() {
				return -1
			}
			return 1
		}
		return fullestFirst(a, b)
	})
	return &taskSlots{slots: slots, anyRoom: list.anyRoom}
}

// take uses the first place on a worker that no run of the set has failed on, or returns nil. What other tasks of the step
// have taken since, from places of another scope, counts.
func (ts *taskSlots) take(g *Group) *Worker {
	for ts.next < len(ts.slots) && ts.slots[ts.next].fits == 0 {
		ts.next++
	}
	for i := ts.next; i < len(ts.slots); i++ {
		sl := &ts.slots[i]
		if sl.fits == 0 || slices.Contains(g.failedOn, sl.worker) {
			continue
		}
		if sl.worker.slotFor(g).fits == 0 {
			sl.fits = 0
			continue
		}
		sl.fits--
		return sl.worker
	}
	return nil
}
