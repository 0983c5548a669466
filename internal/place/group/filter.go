package group

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// filter restricts the workers that a task group may use in one decision.
type filter struct {
	// dataRackOnly is true if the group may only use the rack that holds its data.
	dataRackOnly bool
	// quickRacksToo is true if the group may use racks that are set aside for quick jobs: the other racks could not hold it
	// even if they were empty, or little of its service is in use and the group has waited longer than overdueDelay.
	quickRacksToo bool
	// emptiestFirst is true if the group prefers empty workers, as it may crash them.
	emptiestFirst bool
	// sameRack is true if the group must stay within one rack, as some rack could hold it if it were empty. For a while this
	// includes workers that are only temporarily unavailable, as right after a change of owner.
	sameRack bool
	// overdue is true if the group has waited for too long: it may also use the room of backfill reservations and workers that are
	// avoided.
	overdue bool
	// retryFailed is true if the group may use workers on which it failed, as it found no room elsewhere.
	retryFailed bool
}

// emptyCapacity is how many tasks of one kind the workers could hold if they were empty.
type emptyCapacity struct {
	// openOutsideQuick is the number for the open workers of all racks that are not set aside for quick jobs.
	openOutsideQuick int
	// maxPerRack is the maximum that one of these racks could hold, maxPerQuickRack the same for racks that are set aside.
	maxPerRack      int
	maxPerQuickRack int
}

// emptyCapacityKey has everything that an emptyCapacity depends on, except the workers on which a group failed.
type emptyCapacityKey struct {
	service            string
	requires           string
	affinity           string
	room               Resources
	maxPerWorker       int
	mayUseQuickRacks   bool
	includeUnavailable bool
	dataRackOnly       bool
}

// newFilter determines which workers the group may use in this decision; retryFailed is true if they include those on which it
// failed.
func (e *Engine) newFilter(g *Group, p *pass, retryFailed bool, now time.Time) filter {
	step := g.step()
	mustShareRack := step.SameRack && g.Count > 1
	f := filter{emptiestFirst: g.suspected(), retryFailed: retryFailed}
	f.dataRackOnly = e.dataRackOnly(g, f, now)
	capacity := e.emptyCapacity(g, f, p, mustShareRack && e.worthWaiting(g, now))
	withRun := 0
	if g.Count == 1 && step.MaxPerWorker > 0 {
		withRun = g.occ.unfinished[g.Step] - g.occ.withoutRun[g.Step]
	}
	f.quickRacksToo = capacity.openOutsideQuick-withRun < g.Count || e.fragmented(g) && now.Sub(g.readyAt) > overdueDelay
	if f.quickRacksToo {
		capacity.maxPerRack = max(capacity.maxPerRack, capacity.maxPerQuickRack)
	}
	f.sameRack = mustShareRack && capacity.maxPerRack >= g.Count
	return f
}

// overdueFilter returns the filter of an overdue group, which may use any room. While half of its service or more is in use, it keeps its
// preferences for racks, and only workers that are avoided are added.
func (e *Engine) overdueFilter(g *Group, p *pass, now time.Time) filter {
	if !e.mostlyFree(g) {
		f := e.newFilter(g, p, g.mayRetryFailed(now), now)
		f.overdue = true
		return f
	}
	return filter{emptiestFirst: g.suspected(), retryFailed: g.mayRetryFailed(now), quickRacksToo: true, overdue: true}
}

// emptyCapacity returns how many tasks of the group's kind the workers could hold if they were empty. It is computed once in
// a decision, except for groups that have failed on some worker.
func (e *Engine) emptyCapacity(g *Group, f filter, p *pass, includeUnavailable bool) emptyCapacity {
	step := g.step()
	key := emptyCapacityKey{
		service: g.Job.queue.Service, requires: step.Requires, affinity: step.Affinity, room: g.taskNeed(), maxPerWorker: step.MaxPerWorker,
		mayUseQuickRacks: g.Job.queue.Priority == 0 || step.LongRunning, includeUnavailable: includeUnavailable, dataRackOnly: f.dataRackOnly,
	}
	if found, known := p.emptyCapacities[key]; known && !g.hasFailed() {
		return found
	}
	var capacity emptyCapacity
	for _, r := range e.racks {
		if !f.dataRackOnly || r.name == step.Affinity {
			e.addRackCapacity(&capacity, g, f, r, includeUnavailable)
		}
	}
	if !g.hasFailed() {
		p.emptyCapacities[key] = capacity
	}
	return capacity
}

// addRackCapacity adds the rack's workers to the capacity.
func (e *Engine) addRackCapacity(capacity *emptyCapacity, g *Group, f filter, r *rack, includeUnavailable bool) {
	quickOnly := e.excludesRack(g, r)
	perWorker := work.MaxTasks
	if limit := g.step().MaxPerWorker; limit > 0 {
		perWorker = limit
	}
	total := 0
	for _, w := range r.workers {
		e.examined++
		if !w.open && (!includeUnavailable || e.Closed(w)) || !f.allows(g, w) {
			continue
		}
		tasks := g.taskNeed().Count(w.Capacity, perWorker)
		total += tasks
		if w.open && !quickOnly {
			capacity.openOutsideQuick += tasks
		}
	}
	if quickOnly {
		capacity.maxPerQuickRack = max(capacity.maxPerQuickRack, total)
		return
	}
	capacity.maxPerRack = max(capacity.maxPerRack, total)
}

// allows reports whether the group may run on the worker: the worker is eligible, and no run of the group has failed there or
// the group may return to such workers.
func (f filter) allows(g *Group, w *Worker) bool {
	return w.eligible(g) && (f.retryFailed || !g.failedOn(w))
}

// eligible reports whether the worker has the right service and the required label for the group.
func (w *Worker) eligible(g *Group) bool {
	return w.Service == g.Job.queue.Service && w.hasLabel(g.step().Requires)
}

// worthWaiting reports whether waiting for a place near its data, or in one rack, still costs the group less than running
// RemoteFactor times as long elsewhere.
func (e *Engine) worthWaiting(g *Group, now time.Time) bool {
	return now.Sub(g.readyAt) <= time.Duration((e.cfg.RemoteFactor-1)*float64(g.step().Estimate))
}

// dataRackOnly reports whether the group should wait for the rack that holds its data.
//
// Only workers that could run the group count, among them those that are only temporarily unavailable.
func (e *Engine) dataRackOnly(g *Group, f filter, now time.Time) bool {
	step := g.step()
	if step.Affinity == "" {
		return false
	}
	r := e.rackByName(step.Affinity)
	if r == nil || !e.worthWaiting(g, now) {
		return false
	}
	capacity := 0
	for _, w := range r.workers {
		if !e.Closed(w) && f.allows(g, w) {
			capacity += g.taskNeed().Count(w.Capacity, g.maxPerWorker())
		}
	}
	return capacity >= g.Count
}

// maxPerWorker returns how many tasks of the group one worker may run.
func (g *Group) maxPerWorker() int {
	if limit := g.step().MaxPerWorker; limit > 0 {
		return min(limit, g.Count)
	}
	return g.Count
}
