package sets

import (
	"cmp"
	"slices"
	"time"
)

// claim is room set aside for a set while others stop for it.
type reservation struct {
	workers []*Worker
	until   time.Time
	// kept is true if nobody was stopped and the room becomes free by itself.
	backfill bool
}

// claimSlack is added to the time a stop may take before a claim is given up.
const reservationSlack = 1500 * time.Millisecond

// claimPause keeps a set from stopping others again right after a claim came to nothing.
const reservationRetryDelay = time.Second

const (
	// scatteredUse is the share of the accelerators in use below which a gang that finds no room waits for want of order,
	// not of room: the users expect all work to run below half.
	fragmentedBelow = 0.5
	// scatteredAfter is how long such a gang waits first.
	gangPreemptionDelay = time.Second
)

const (
	// evictionPause keeps a quick set that no stop would help from being searched for in each decision.
	quickPreemptionRetryDelay = 50 * time.Millisecond
	// gangEvictionPause is the same for a set that is not quick: the time in which a thirtieth of the running work ends, and
	// with it what a search would find.
	gangPreemptionRetryDelay = 250 * time.Millisecond
)

func (g *Group) preemptionRetryDelay() time.Duration {
	if g.Job.queue.Priority == 0 {
		return quickPreemptionRetryDelay
	}
	return gangPreemptionRetryDelay
}

// wasteMost is how much work, against its own, a set may throw away to start at once if no guarantee asks for it.
const maxWasteRatio = 1.0

// victim is a run that could be stopped, how urgent it is, and what stopping it would throw away.
type victim struct {
	run      *Run
	priority int
	// waste is in core-seconds, cost the same for each core that it frees.
	wastedCoreSeconds float64
	wastePerCore      float64
}

// beneficiary is all of a set that decides which runs may be stopped for it, but for those of its own job.
type requester struct {
	priority        int
	withinGuarantee bool
}

// targets are the runs that may be stopped: batch work first, then the cheapest for what it frees.
type candidates struct {
	all    []victim
	byRack map[*rack][]victim
}

// preempt stops cheaper work for the set and claims the room; it reports whether it did.
func (e *Engine) preempt(g *Group, f filter, p *pass, now time.Time) bool {
	list := e.listSlots(g, f)
	cand := e.candidates(g, p, now)
	var best *preemption
	if !list.sameRack {
		best = planPreemption(g, cand.all, list.slots)
	} else {
		for _, slots := range splitByRack(list.slots) {
			if plan := planPreemption(g, cand.byRack[slots[0].worker.rack], slots); plan != nil && (best == nil || plan.wastedCoreSeconds < best.wastedCoreSeconds) {
				best = plan
			}
		}
	}
	if best == nil || !g.Job.withinGuarantee && best.wastedCoreSeconds > maxWasteRatio*g.step().Estimate.Seconds()*g.totalNeed().Cores() {
		return false
	}
	for _, v := range best.victims {
		e.stopRun(v.run, "room for "+g.Job.ID(), now)
	}
	e.addReservation(g, &reservation{workers: best.chooseWorkers(g), until: now.Add(e.cfg.StopTimeout + reservationSlack)})
	g.Job.Waiting = "others are being stopped to make room"
	return true
}

// mayStopOthers reports whether the set may have room made: quick jobs that still gain by it, and any gang that waits
// although much is free, since what is stopped for it finds room elsewhere, or that still gains by it.
func (e *Engine) mayPreempt(g *Group, now time.Time) bool {
	stillUseful := g.occ.lateness != expired
	if g.Job.queue.Priority == 0 && (stillUseful || g.Job.withinGuarantee) {
		return true
	}
	return g.Count > 1 && (stillUseful || e.fragmented()) && now.Sub(g.readyAt) > gangPreemptionDelay
}

// scattered reports whether a gang that finds no room lacks order rather than room.
func (e *Engine) fragmented() bool { return e.utilization < fragmentedBelow }

// eviction is a way to make room: the runs to stop, and what there will be room on.
type preemption struct {
	slotList
	victims           []victim
	wastedCoreSeconds float64
}

// evict chooses the runs to stop so that the set fits into the group, which is one rack or need not be one, or returns nil.
func planPreemption(g *Group, victims []victim, slots []slot) *preemption {
	capacity := 0
	for i := range slots {
		sl := &slots[i]
		sl.worker.searchSlot = i + 1
		capacity += g.taskNeed().Count(sl.worker.Capacity, sl.maxTasks)
	}
	defer func() {
		for _, sl := range slots {
			sl.worker.searchSlot = 0
		}
	}()
	if capacity < g.Count {
		return nil
	}
	plan := &preemption{slotList: slotList{slots: slots}}
	for _, sl := range slots {
		plan.totalFits += sl.fits
	}
	for _, v := range victims {
		if plan.totalFits >= g.Count {
			break
		}
		if v.run.Group.Job != g.Job && v.run.stopReason == "" && plan.applyRoom(g, v.run, 1) {
			plan.victims = append(plan.victims, v)
		}
	}
	if plan.totalFits < g.Count {
		return nil
	}
	plan.dropUnneeded(g)
	for _, v := range plan.victims {
		plan.wastedCoreSeconds += v.wastedCoreSeconds
	}
	plan.slots = slices.Clone(slots)
	plan.slots = slices.DeleteFunc(plan.slots, func(sl slot) bool { return sl.fits == 0 })
	return plan
}

// spare drops the victims that need not be stopped after all, the dearest first.
func (plan *preemption) dropUnneeded(g *Group) {
	for i := len(plan.victims) - 1; i >= 0; i-- {
		run := plan.victims[i].run
		plan.applyRoom(g, run, -1)
		if plan.totalFits >= g.Count {
			plan.victims = slices.Delete(plan.victims, i, i+1)
			continue
		}
		plan.applyRoom(g, run, 1)
	}
}

// release adds the room of the run's live members to the slots, or takes it back; it reports whether there was any.
func (plan *preemption) applyRoom(g *Group, run *Run, sign int) bool {
	room := run.Group.taskNeed().Times(sign)
	changed := false
	for _, m := range run.Members {
		if m.State == Ended || m.Worker.searchSlot == 0 {
			continue
		}
		changed = true
		sl := &plan.slots[m.Worker.searchSlot-1]
		plan.totalFits -= sl.fits
		sl.free = sl.free.Add(room)
		sl.fits = g.taskNeed().Count(sl.free, sl.maxTasks)
		plan.totalFits += sl.fits
	}
	return changed
}

// targets lists the runs that may be stopped for the set; the list is worked out once in a pass.
func (e *Engine) candidates(g *Group, p *pass, now time.Time) *candidates {
	key := requester{priority: g.Job.queue.Priority, withinGuarantee: g.Job.withinGuarantee}
	if cand := p.candidates[key]; cand != nil {
		return cand
	}
	cand := &candidates{all: e.listVictims(g, now), byRack: make(map[*rack][]victim)}
	for _, v := range cand.all {
		for _, m := range v.run.Members {
			r := m.Worker.rack
			if list := cand.byRack[r]; m.State != Ended && (len(list) == 0 || list[len(list)-1].run != v.run) {
				cand.byRack[r] = append(list, v)
			}
		}
	}
	p.candidates[key] = cand
	return cand
}

// victims lists the runs that may be stopped for the set and others like it.
func (e *Engine) listVictims(g *Group, now time.Time) []victim {
	var list []victim
	for _, j := range e.openJobs {
		if !preemptible(j, g.Job) {
			continue
		}
		budgets := j.disruptionBudgets()
		for _, other := range j.groups {
			if g.Job.queue.Priority != 0 && !e.cheapToMove(other, g) || !budgets.take(other) {
				continue
			}
			if run := other.Run; run != nil && run.stopReason == "" && run.brokenAt.IsZero() && run.complete() {
				wasted := wastedCoreSeconds(run, now)
				list = append(list, victim{run: run, priority: j.queue.Priority, wastedCoreSeconds: wasted, wastePerCore: wasted / other.totalNeed().Cores()})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(min(b.priority, 1), min(a.priority, 1)), cmp.Compare(a.wastePerCore, b.wastePerCore))
	})
	return list
}

// cheapToMove reports whether a set may be stopped for a gang that is not quick: a single task that finds room elsewhere, or
// one that is less urgent and goes on where it was.
func (e *Engine) cheapToMove(other, g *Group) bool {
	if other.Count > 1 {
		return false
	}
	step := other.step()
	return e.fragmented() || step.Checkpoints && !step.Lasts && other.Job.queue.Priority > g.Job.queue.Priority
}

// yields reports whether a job's runs may be stopped for another job.
func preemptible(j, by *Job) bool {
	if j.withinGuarantee || j.Record.Phase.Final() {
		return false
	}
	if by.queue.Priority != 0 {
		return j.queue.Priority != 0
	}
	return j.queue.Priority > 0 || by.withinGuarantee
}

// stopCost is the share of a second that stopping a run with checkpoints costs besides its progress.
const checkpointStopSeconds = 0.5

// waste is the core-seconds that stopping the run throws away.
func wastedCoreSeconds(run *Run, now time.Time) float64 {
	cores := run.Group.totalNeed().Cores()
	if run.Group.step().Checkpoints {
		return checkpointStopSeconds * cores
	}
	return now.Sub(run.PlannedAt).Seconds() * cores
}

func (e *Engine) addReservation(g *Group, r *reservation) {
	g.reservation = r
	e.reservedGroups = append(e.reservedGroups, g)
	for _, w := range r.workers {
		w.adjustReserved(r.backfill, g.taskNeed())
	}
}

func (e *Engine) dropReservation(g *Group) {
	if g.reservation == nil {
		return
	}
	for _, w := range g.reservation.workers {
		w.adjustReserved(g.reservation.backfill, g.taskNeed().Times(-1))
	}
	g.reservation = nil
	e.reservedGroups = slices.DeleteFunc(e.reservedGroups, func(o *Group) bool { return o == g })
}

// shift adds to the room that is kept or claimed on the worker.
func (w *Worker) adjustReserved(backfill bool, room Room) {
	if backfill {
		w.backfillReserved = w.backfillReserved.Add(room)
		return
	}
	w.reserved = w.reserved.Add(room)
	w.reindex()
}

// startClaims plans the sets whose claimed room is free, and gives up claims that came to nothing.
//
// A worker that is avoided for a moment keeps its claim: others have been stopped for it already.
func (e *Engine) startReserved(p *pass, now time.Time) {
	for _, g := range slices.Clone(e.reservedGroups) {
		workers := g.reservation.workers
		switch {
		case now.After(g.reservation.until) || slices.ContainsFunc(workers, e.Closed):
			e.dropReservation(g)
			g.Job.Waiting = ""
			g.nextReservationAt = now.Add(reservationRetryDelay)
		case e.allUsable(workers, now) && e.hasRoomFor(g, workers):
			e.dropReservation(g)
			e.planRun(g, workers, "room made", now)
		default:
			e.retryElsewhere(g, p, now)
		}
	}
}

// reconsider places a set that has claimed room elsewhere if it can, since the room it claimed may be long in coming; a
// gang for which room is kept may also have small tasks moved once much is free.
func (e *Engine) retryElsewhere(g *Group, p *pass, now time.Time) {
	r := g.reservation
	e.dropReservation(g)
	f := e.newFilter(g, p, now)
	if workers := e.findWorkers(g, f); workers != nil {
		e.planRun(g, workers, "free room elsewhere", now)
		return
	}
	if r.backfill && e.mayPreempt(g, now) && !now.Before(g.nextPreemptionAt) {
		if e.preempt(g, f, p, now) {
			return
		}
		g.nextPreemptionAt = now.Add(g.preemptionRetryDelay())
	}
	e.addReservation(g, r)
}

func (e *Engine) allUsable(workers []*Worker, now time.Time) bool {
	return !slices.ContainsFunc(workers, func(w *Worker) bool { return !e.usable(w, now) })
}

// roomFor reports whether the workers may take the set now, whatever others have claimed.
func (e *Engine) hasRoomFor(g *Group, workers []*Worker) bool {
	for i, w := range workers {
		if slices.Contains(workers[:i], w) {
			continue
		}
		n := 0
		for _, o := range workers {
			if o == w {
				n++
			}
		}
		if g.taskNeed().Count(w.Capacity.Sub(w.Used), n) < n {
			return false
		}
		if limit := g.step().MaxPerWorker; limit > 0 && w.membersOfStep(g)+n > limit {
			return false
		}
	}
	return true
}
