package sets

import (
	"slices"
	"time"
)

// places is where single tasks of one step may go, in the order in which they are to be used.
type places struct {
	slots []slot
	// next is the first slot that may have room.
	next int
	// room is true if any worker had room for a task, also where the step's bound on each worker forbids it.
	room bool
}

// placeTasks plans runs for the tasks of a step that wait. They differ only in where they have failed and for how long they
// wait, so they share searches.
func (e *Engine) placeTasks(step waitingStep, p *pass, now time.Time) {
	found := make(map[scope]*places, 1)
	alike := step.turn.job.rules.Priority != 0 && step.turn.job.Spec.Steps[step.step].Affinity == ""
	for _, s := range step.sets() {
		if s.Run != nil || s.claim != nil || s.record().Done {
			continue
		}
		sc := e.scope(s, p, now)
		if e.placeTask(s, sc, found, p, now) {
			continue
		}
		if e.makeRoom(s, sc, p, now) {
			// Room was claimed that the searches had found.
			clear(found)
			continue
		}
		if alike && len(s.soured) == 0 {
			return
		}
	}
}

// placeTask plans a run of the set, a single task, if there is room.
func (e *Engine) placeTask(s *Set, sc scope, found map[scope]*places, p *pass, now time.Time) bool {
	if !p.mayFit(s, sc) {
		return false
	}
	at := found[sc]
	if at == nil {
		at = e.places(s, sc)
		found[sc] = at
	}
	if w := at.take(s); w != nil {
		e.plan(s, []*Worker{w}, "free room", now)
		return true
	}
	if !at.room || at.next == len(at.slots) && s.step().MaxPerWorker == 0 {
		p.missed(s, sc)
	}
	return false
}

// places searches for room for the tasks of the set's step: the fullest workers first, so that whole ones stay free for
// large tasks, but for quick jobs the fast ones before all others.
func (e *Engine) places(s *Set, sc scope) *places {
	// What one of the tasks has failed on may do for the others.
	sibling := &Set{Job: s.Job, Step: s.Step, turn: s.turn, Count: s.Count, index: s.index}
	o := e.roomy(sibling, sc)
	slots := slices.Clone(o.slots)
	quick := s.Job.rules.Priority == 0
	slices.SortStableFunc(slots, func(a, b slot) int {
		if quick && a.worker.fast() != b.worker.fast() {
			if a.worker.fast() {
				return -1
			}
			return 1
		}
		return fullestFirst(a, b)
	})
	return &places{slots: slots, room: o.room}
}

// take uses the first place on a worker that no run of the set has failed on, or returns nil. What other tasks of the step
// have taken since, from places of another scope, counts.
func (at *places) take(s *Set) *Worker {
	for at.next < len(at.slots) && at.slots[at.next].fits == 0 {
		at.next++
	}
	for i := at.next; i < len(at.slots); i++ {
		sl := &at.slots[i]
		if sl.fits == 0 || slices.Contains(s.soured, sl.worker) {
			continue
		}
		if sl.worker.slotFor(s).fits == 0 {
			sl.fits = 0
			continue
		}
		sl.fits--
		return sl.worker
	}
	return nil
}
