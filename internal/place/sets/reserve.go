package sets

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reserveAfter is how long a set waits before room is kept for it as it becomes free: small work would take every gap
	// that a large gang needs.
	backfillDelay = 4 * time.Second
	// reservesFew gangs may always have room kept for them, reservesMany while less than amplyFree of the accelerators is in
	// use. More may on a fleet that is fuller, as long as no more than idleMost of it lies idle for them.
	minBackfills         = 1
	maxBackfillsAtLowUse = 2
	lowUseBelow          = 0.6
	maxBackfillIdleShare = 0.05
	// reservePause keeps a gang that fits nowhere, whatever ends, from being searched for in each decision.
	backfillRetryDelay = 500 * time.Millisecond
	// reserveFor is how long room is kept before the choice is made anew.
	backfillDuration = 12 * time.Second
)

// opening is room for one more task on a worker, and when it will be there.
type futureSlot struct {
	worker *Worker
	freeIn time.Duration
}

// reserve keeps the room for a gang that will be free first, without stopping anyone; it reports whether it did.
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
	g.Job.Waiting = "room is kept as it becomes free; the last part in about " + best[len(best)-1].freeIn.Round(time.Second).String()
	e.emit(Note{What: JobWaits, Job: g.Job.ID(), Text: g.Job.Waiting})
	return true
}

// mayKeepMore reports whether room may be kept for one more gang.
func (e *Engine) mayAddBackfill() bool {
	if e.utilization < lowUseBelow {
		return e.backfillCount < maxBackfillsAtLowUse
	}
	return e.backfillCount < minBackfills || float64(e.backfillIdle) < maxBackfillIdleShare*float64(e.usableAccelerators)
}

// countKept counts the gangs that have room kept for them, and the accelerators that lie idle for that.
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

// openings lists the room for tasks of the set in the group, the earliest first.
func futureSlots(g *Group, slots []slot) []futureSlot {
	var list []futureSlot
	for _, sl := range slots {
		list = append(list, sl.futureSlots(g)...)
	}
	slices.SortStableFunc(list, func(a, b futureSlot) int { return cmp.Compare(a.freeIn, b.freeIn) })
	return list
}

// openings lists when the worker will have room for one task of the set, for two, and so on.
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
