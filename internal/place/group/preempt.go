package group

import (
	"cmp"
	"slices"
	"time"
)

// reservation is room set aside for a task group until other runs have stopped or ended.
type reservation struct {
	workers []*Worker
	until   time.Time
	// backfill is true if no run was stopped for the reservation: the room becomes free as runs end.
	backfill bool
}

// reservationSlack is added to the time a stop may take before a reservation is dropped.
const reservationSlack = 1500 * time.Millisecond

// reservationRetryDelay keeps a task group from preempting again right after its reservation was dropped unused.
const reservationRetryDelay = time.Second

const (
	// fragmentedBelow is the share of a service's accelerators in use below which a gang that finds no room is blocked by
	// fragmentation rather than lack of capacity: all work must be able to run while less than half is in use.
	fragmentedBelow = 0.5
	// gangPreemptionDelay is how long a gang waits before it may preempt.
	gangPreemptionDelay = time.Second
)

const (
	// quickPreemptionRetryDelay saves a search in each decision for a quick task group that no stop would help.
	quickPreemptionRetryDelay = 50 * time.Millisecond
	// gangPreemptionRetryDelay is the same for other task groups. About a thirtieth of the running work ends in that time,
	// so a search finds little new before.
	gangPreemptionRetryDelay = 250 * time.Millisecond
)

func (g *Group) preemptionRetryDelay() time.Duration {
	if g.Job.queue.Priority == 0 {
		return quickPreemptionRetryDelay
	}
	return gangPreemptionRetryDelay
}

// maxWasteRatio is the maximum work that a task group outside its guarantee may discard by preemption, relative to its own
// work.
const maxWasteRatio = 1.0

// victim is a run that could be stopped, with its priority and the work that a stop would discard.
type victim struct {
	run      *Run
	priority int
	// wastePerCore is wastedCoreSeconds for each core that the stop frees.
	wastedCoreSeconds float64
	wastePerCore      float64
}

// requester is what determines which runs may be stopped for a task group, apart from the runs of its own job.
type requester struct {
	priority        int
	withinGuarantee bool
	service         string
}

// candidates are the runs that may be stopped: those of quick jobs last, otherwise in ascending order of wastePerCore.
type candidates struct {
	all    []victim
	byRack map[*rack][]victim
}

// preempt stops less valuable runs for the task group and reserves their room; it reports whether it did.
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
		e.stopRunFor(g.Job.ID(), v.run, Preempted, "preempted by "+g.Job.ID(), now)
	}
	e.addReservation(g, &reservation{workers: best.chooseWorkers(g, f), until: now.Add(e.cfg.StopTimeout + reservationSlack)})
	g.Job.Waiting = "waits until preempted runs have stopped"
	e.emit(Decision{Kind: JobWaits, Job: g.Job.ID(), Task: g.taskName(0), Cause: StopAwaited, CoreSeconds: best.wastedCoreSeconds, Text: g.Job.Waiting})
	return true
}

// mayPreempt reports whether other runs may be stopped for the task group: for quick jobs that are not expired or are within
// their guarantee, for waiting gangs that are not expired, and for any waiting gang while much is free, as stopped runs then
// find room elsewhere.
func (e *Engine) mayPreempt(g *Group, now time.Time) bool {
	stillUseful := g.occ.lateness != expired
	if g.Job.queue.Priority == 0 && (stillUseful || g.Job.withinGuarantee) {
		return true
	}
	return g.Count > 1 && (stillUseful || e.fragmented(g)) && now.Sub(g.readyAt) > gangPreemptionDelay
}

// preemption is a plan to make room: the runs to stop, and the slots once they have stopped.
type preemption struct {
	slotList
	victims           []victim
	wastedCoreSeconds float64
}

// planPreemption chooses the runs to stop so that the task group fits into the slots, or returns nil if no choice suffices.
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

// dropUnneeded drops the victims that need not be stopped after all, beginning with the last in the order of candidates.
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

// applyRoom adds the room of the run's live members to the slots, or subtracts it if sign is -1; it reports whether any of
// them is on the slots.
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

// candidates returns the runs that may be stopped for the task group; they are listed once for each requester in a pass.
func (e *Engine) candidates(g *Group, p *pass, now time.Time) *candidates {
	key := requester{priority: g.Job.queue.Priority, withinGuarantee: g.Job.withinGuarantee, service: g.Job.queue.Service}
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

// listVictims lists the runs that may be stopped for task groups with the same requester key as g.
func (e *Engine) listVictims(g *Group, now time.Time) []victim {
	var list []victim
	for _, j := range e.openJobs {
		if !preemptible(j, g.Job) {
			continue
		}
		budgets := j.disruptionBudgets(now)
		for _, other := range j.groups {
			if g.Job.queue.Priority != 0 && !e.cheapToMove(other, g) || !budgets.deduct(other, now) {
				continue
			}
			if run := other.Run; run != nil && run.stopReason == "" && !run.broken() && run.complete() {
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

// cheapToMove reports whether a task group may be stopped for a gang that is not quick: a single task while much is
// free, as it then finds room elsewhere, or one of lower priority that resumes from a checkpoint.
func (e *Engine) cheapToMove(other, g *Group) bool {
	if other.Count > 1 {
		return false
	}
	step := other.step()
	return e.fragmented(g) || step.Checkpoints && !step.LongRunning && other.Job.queue.Priority > g.Job.queue.Priority
}

// preemptible reports whether a job's runs may be stopped for another job.
func preemptible(j, requesting *Job) bool {
	if j.withinGuarantee || j.Record.Phase.Final() {
		return false
	}
	if requesting.queue.Priority != 0 {
		return j.queue.Priority != 0
	}
	return j.queue.Priority > 0 || requesting.withinGuarantee
}

// checkpointStopSeconds is how many seconds of work a stop costs a run with checkpoints; its progress is saved.
const checkpointStopSeconds = 0.5

// wastedCoreSeconds is the work that stopping the run discards, in core-seconds.
func wastedCoreSeconds(run *Run, now time.Time) float64 {
	cores := run.Group.totalNeed().Cores()
	if run.Group.step().Checkpoints {
		return checkpointStopSeconds * cores
	}
	return now.Sub(run.PlannedAt).Seconds() * cores
}

func (e *Engine) addReservation(g *Group, r *reservation) {
	g.reservation = r
	g.Job.account.reserved = g.Job.account.reserved.Add(g.totalNeed())
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
	g.Job.account.reserved = g.Job.account.reserved.Sub(g.totalNeed())
	e.reservedGroups = slices.DeleteFunc(e.reservedGroups, func(o *Group) bool { return o == g })
}

// adjustReserved adds the room to the worker's backfill reservations if backfill is true, and to the others if not.
func (w *Worker) adjustReserved(backfill bool, room Resources) {
	if backfill {
		w.backfillReserved = w.backfillReserved.Add(room)
		return
	}
	w.reserved = w.reserved.Add(room)
	w.reindex()
}

// startReserved plans runs of the task groups whose reserved room is free, and drops reservations that have expired or lost
// a worker. One that can no longer be used, as a worker has shrunk or is of another kind, may be replaced at once.
//
// A reservation stays while new tasks are kept off one of its workers for a short time, as runs were already stopped for it.
func (e *Engine) startReserved(p *pass, now time.Time) {
	for _, g := range slices.Clone(e.reservedGroups) {
		workers := g.reservation.workers
		switch {
		case !couldHold(g, workers):
			e.dropReservation(g)
			g.Job.Waiting = ""
		case !g.Job.account.promised().within(g.Job.account.Cap):
			// The cap was lowered, or an earlier owner has recorded more than it allows.
			e.dropReservation(g)
			g.Job.Waiting = ""
			g.nextReservationAt = now.Add(reservationRetryDelay)
		case now.After(g.reservation.until) || slices.ContainsFunc(workers, e.Closed):
			e.dropReservation(g)
			g.Job.Waiting = ""
			g.nextReservationAt = now.Add(reservationRetryDelay)
		case e.allUsable(workers, now) && e.hasRoomFor(g, workers):
			e.dropReservation(g)
			e.planRun(g, workers, ReservedRoom, "reserved room is free", now)
		default:
			e.retryElsewhere(g, p, now)
		}
	}
}

// retryElsewhere places a task group outside its reservation if it fits, since the reserved room may become free late. A
// gang with a backfill reservation may also preempt small tasks, for instance once much is free. If neither works, the
// reservation is restored.
func (e *Engine) retryElsewhere(g *Group, p *pass, now time.Time) {
	r := g.reservation
	e.dropReservation(g)
	workers, f := e.findRoom(g, p, now, func(f filter) []*Worker { return e.findWorkers(g, f) })
	if workers != nil {
		e.planRun(g, workers, FreeRoom, "free room outside its reservation", now)
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

// hasRoomFor reports whether the task group fits on the workers now; the reservations of others are ignored.
func (e *Engine) hasRoomFor(g *Group, workers []*Worker) bool {
	for w, n := range tasksPerWorker(workers) {
		if g.taskNeed().Count(w.Capacity.Sub(w.Used), n) < n {
			return false
		}
		if limit := g.step().MaxPerWorker; limit > 0 && w.membersOfStep(g)+n > limit {
			return false
		}
	}
	return true
}

// couldHold reports whether the task group may run on the workers and would fit if they were empty.
func couldHold(g *Group, workers []*Worker) bool {
	for w, n := range tasksPerWorker(workers) {
		if !w.eligible(g) || g.taskNeed().Count(w.Capacity, n) < n {
			return false
		}
	}
	return true
}

// tasksPerWorker returns how many tasks of a group each worker is to get, from the workers of its tasks.
func tasksPerWorker(workers []*Worker) map[*Worker]int {
	counts := make(map[*Worker]int, len(workers))
	for _, w := range workers {
		counts[w]++
	}
	return counts
}
