package group

import (
	"cmp"
	"slices"
	"time"
)

const (
	// backfillDelay is how long a gang waits before room is reserved for it as it becomes free. Without a reservation, small
	// tasks would take every gap that a large gang needs.
	backfillDelay = 4 * time.Second
	// minBackfills gangs may always have a backfill reservation, and maxBackfillsAtLowUse while less than lowUseBelow of the
	// accelerators is in use. A fuller fleet allows more, as long as less than maxBackfillIdleShare of it is idle for them.
	minBackfills         = 1
	maxBackfillsAtLowUse = 2
	lowUseBelow          = 0.6
	maxBackfillIdleShare = 0.05
	// backfillRetryDelay limits how often a search is repeated for a gang that would fit nowhere, whichever runs end.
	backfillRetryDelay = 500 * time.Millisecond
	// backfillDuration is how long a backfill reservation lasts before the workers are chosen again.
	backfillDuration = 12 * time.Second
)

// futureSlot is room for one more task on a worker, and the estimated time until it is free.
type futureSlot struct {
	worker *Worker
	freeIn time.Duration
}

// reserveBackfill reserves the room that will be free first for a gang, without preemption, and reports whether it did.
func (e *Engine) reserveBackfill(g *Group, f filter, now time.Time) bool {
	if g.Count == 1 || !e.mayAddBackfill() || now.Sub(g.readyAt) < backfillDelay || now.Before(g.nextReservationAt) || now.Before(g.nextBackfillAt) {
		return false
	}
	var best []futureSlot
	list := e.listSlots(g, f)
	choices := [][]slot{list.slots}
	if list.sameRack {
		choices = splitByRack(list.slots)
	}
	for _, slots := range choices {
		future := futureSlots(g, slots)
		if len(future) < g.Count {
			continue
		}
		future = future[:g.Count]
		if best == nil || future[g.Count-1].freeIn < best[g.Count-1].freeIn {
			best = future
		}
	}
	if best == nil {
		g.nextBackfillAt = now.Add(backfillRetryDelay)
		return false
	}
	workers := make([]*Worker, len(best))
	for i, fs := range best {
		workers[i] = fs.worker
	}
	e.addReservation(g, &reservation{workers: workers, until: now.Add(backfillDuration), backfill: true})
	e.countBackfills()
	g.Job.Waiting = "backfill reservation; all of its room is expected to be free in about " + best[len(best)-1].freeIn.Round(time.Second).String()
	e.emit(Decision{Kind: JobWaits, Job: g.Job.ID(), Task: g.taskName(0), Cause: e.waitCause(g, f), Text: g.Job.Waiting})
	return true
}

// mayAddBackfill reports whether one more gang may have a backfill reservation.
func (e *Engine) mayAddBackfill() bool {
	if e.utilization < lowUseBelow {
		return e.backfillCount < maxBackfillsAtLowUse
	}
	return e.backfillCount < minBackfills || float64(e.backfillIdle) < maxBackfillIdleShare*float64(e.usableAccelerators)
}

// countBackfills counts the backfill reservations, and the accelerators that are idle for them.
func (e *Engine) countBackfills() {
	e.backfillCount, e.backfillIdle = 0, 0
	for _, g := range e.reservedGroups {
		if g.reservation.backfill {
			e.backfillCount++
		}
	}
	if e.backfillCount == 0 {
		return
	}
	for _, w := range e.sortedWorkers {
		e.backfillIdle += min(w.backfillReserved.Accelerators, w.freeAccelerators())
	}
}

// futureSlots lists the room that the slots will have for tasks of the group, the earliest first.
func futureSlots(g *Group, slots []slot) []futureSlot {
	var list []futureSlot
	for _, sl := range slots {
		list = append(list, sl.futureSlots(g)...)
	}
	slices.SortStableFunc(list, func(a, b futureSlot) int { return cmp.Compare(a.freeIn, b.freeIn) })
	return list
}

// futureSlots lists when the worker will have room for one task of the group, for two, and so on.
func (sl *slot) futureSlots(g *Group) []futureSlot {
	members := slices.Clone(sl.worker.sortedMembers())
	slices.SortStableFunc(members, func(a, b *Member) int { return cmp.Compare(a.remaining(), b.remaining()) })
	free := sl.free
	var list []futureSlot
	in := time.Duration(0)
	for i := 0; ; i++ {
		for len(list) < g.taskNeed().Count(free, sl.maxTasks) {
			list = append(list, futureSlot{worker: sl.worker, freeIn: in})
		}
		if i == len(members) || len(list) >= sl.maxTasks {
			return list
		}
		in = max(in, members[i].remaining())
		free = free.Add(members[i].Run.Group.taskNeed())
	}
}
