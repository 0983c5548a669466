package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/evict"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// placeOnFailedWorkers places a guaranteed job even where it has failed before, because the guarantee takes precedence.
func (e *Engine) placeOnFailedWorkers(j *queue.Job, centres []int, now time.Time) bool {
	if len(j.FailedOn) == 0 {
		return false
	}
	failedOn := j.FailedOn
	j.FailedOn = nil
	placed := e.placeGuaranteed(j, centres, now)
	j.FailedOn = failedOn
	return placed
}

// placeGuaranteed places a job that holds a guarantee slot: in its home or a better one, on free capacity outside the
// guarantee, or by stopping opportunistic jobs.
func (e *Engine) placeGuaranteed(j *queue.Job, centres []int, now time.Time) bool {
	slot := &e.Guard.Slots[j.Slot]
	if slot.Home == nil {
		e.Guard.ReclaimHome(j.Slot)
	}
	allowed, exact := e.slotView(j)
	limit := excluding(allowed, j.FailedOn)
	if e.placeGuaranteedOnFree(j, centres, limit, exact, now) {
		return true
	}
	if !j.Pinned() {
		if workers := e.Fleet.Find(centres, j.Shape, e.viewFor(j), true); workers != nil {
			e.start(j, workers, "free capacity outside its guarantee", now)
			return true
		}
	}
	// Using a worker on which the job has failed is better than waiting for other jobs to stop.
	if len(j.FailedOn) > 0 && e.placeGuaranteedOnFree(j, centres, allowed, exact, now) {
		return true
	}
	search := evict.Search{Fleet: e.Fleet, Scratch: &e.scratch, Shape: j.Shape, Limit: limit, Source: e.reclaimable(j, now)}
	plan, ok := search.Best(centres)
	if !ok {
		return false
	}
	e.occupySlot(j, plan.Workers, exact)
	e.reserve(j, plan, "reclaims its guarantee", now)
	return true
}

// placeGuaranteedOnFree places a guaranteed job where no other job has to stop.
func (e *Engine) placeGuaranteedOnFree(j *queue.Job, centres []int, limit fleet.View, exact bool, now time.Time) bool {
	workers := e.Fleet.Find(centres, j.Shape, intersect(e.Fleet.FreeView(), limit), true)
	if workers == nil && !exact {
		return e.placeInNewHome(j, centres, now)
	}
	if workers == nil {
		return false
	}
	e.occupySlot(j, workers, exact)
	e.start(j, workers, "guaranteed capacity", now)
	return true
}

// placeInNewHome moves the home of a slot that is larger than its job to workers where the slot's whole shape is free.
func (e *Engine) placeInNewHome(j *queue.Job, centres []int, now time.Time) bool {
	view := intersect(e.Fleet.FreeView(), excluding(e.Guard.AllowedView(j.Slot), j.FailedOn))
	home := e.Fleet.Find(centres, e.Guard.Slots[j.Slot].Shape, view, true)
	if home == nil {
		return false
	}
	e.occupySlot(j, home, true)
	e.start(j, append([]int(nil), home[:j.Members]...), "guaranteed capacity", now)
	return true
}

// occupySlot marks the slot as in use by the job on these workers.
func (e *Engine) occupySlot(j *queue.Job, workers []int, exact bool) {
	if exact {
		e.Guard.SetHome(j.Slot, append([]int(nil), workers...))
	}
	e.Guard.Slots[j.Slot].InHome = true
}

// startOnFreedCapacity starts a guaranteed job that waits for victims if other capacity has become free in the meantime.
func (e *Engine) startOnFreedCapacity(j *queue.Job, now time.Time) {
	workers := j.Workers
	slot := &e.Guard.Slots[j.Slot]
	home, inHome := slot.Home, slot.InHome
	e.vacate(j)
	limit, exact := e.slotView(j)
	if e.placeGuaranteedOnFree(j, e.startableCentres(j), limit, exact, now) {
		e.cancelReservation(j)
		return
	}
	e.Guard.SetHome(j.Slot, home)
	slot.InHome = inHome
	e.occupy(j, workers)
}

// slotView returns the capacity that a guaranteed job may use: everything that its slot allows if the job has exactly the
// slot's shape, else only the slot's home.
func (e *Engine) slotView(j *queue.Job) (view fleet.View, exact bool) {
	if e.Guard.Slots[j.Slot].Shape == j.Shape {
		return e.Guard.AllowedView(j.Slot), true
	}
	return e.Guard.HomeView(j.Slot), false
}
