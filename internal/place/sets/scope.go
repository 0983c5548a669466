package sets

import (
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// scope says where a set may look for room.
type filter struct {
	// near is true if only the rack that holds its data counts.
	dataRackOnly bool
	// keptToo is true if racks kept for others count: the rest could not hold the set if it were empty, or much is free and
	// the set has waited for it.
	quickRacksToo bool
	// inRack is true if the set must stay within a rack, as one of them could hold it if it were empty. For a while, workers
	// count for that which get no tasks only at the moment, as right after a change of owner.
	sameRack bool
}

// keptPatience is how long a set waits, while less than half of the fleet is in use, before it uses racks that are kept for
// others: the users expect all work to run within three seconds then.
const quickRackDelay = 2 * time.Second

// span is how many tasks of one kind the workers could hold if they were empty.
type emptyCapacity struct {
	// outside counts the open workers of racks that are not kept for others.
	openOutsideQuick int
	// most and mostKept are the most that any one rack could hold, of the other racks and of those kept for others.
	maxPerRack      int
	maxPerQuickRack int
}

// spanKey is all that a span depends on.
type emptyCapacityKey struct {
	service            string
	requires           string
	affinity           string
	room               Room
	maxPerWorker       int
	mayUseQuickRacks   bool
	includeUnavailable bool
	dataRackOnly       bool
}

// scope works out where the set may look for room in this decision.
func (e *Engine) newFilter(g *Group, p *pass, now time.Time) filter {
	step := g.step()
	mustShareRack := step.SameRack && g.Count > 1
	f := filter{dataRackOnly: e.dataRackOnly(g, now)}
	capacity := e.emptyCapacity(g, p, mustShareRack && e.worthWaiting(g, now), f.dataRackOnly)
	withRun := 0
	if g.Count == 1 && step.MaxPerWorker > 0 {
		withRun = g.occ.unfinished[g.Step] - g.occ.withoutRun[g.Step]
	}
	f.quickRacksToo = capacity.openOutsideQuick-withRun < g.Count || e.fragmented() && now.Sub(g.readyAt) > quickRackDelay
	if f.quickRacksToo {
		capacity.maxPerRack = max(capacity.maxPerRack, capacity.maxPerQuickRack)
	}
	f.sameRack = mustShareRack && capacity.maxPerRack >= g.Count
	return f
}

// span returns what the workers could hold of the set's kind; it is worked out once in a decision, but for sets that have
// failed somewhere.
func (e *Engine) emptyCapacity(g *Group, p *pass, includeUnavailable, dataRackOnly bool) emptyCapacity {
	step := g.step()
	key := emptyCapacityKey{
		service: g.Job.queue.Service, requires: step.Requires, affinity: step.Affinity, room: g.taskNeed(), maxPerWorker: step.MaxPerWorker,
		mayUseQuickRacks: g.Job.queue.Priority == 0 || step.Lasts, includeUnavailable: includeUnavailable, dataRackOnly: dataRackOnly,
	}
	if found, known := p.emptyCapacities[key]; known && len(g.failedOn) == 0 {
		return found
	}
	var capacity emptyCapacity
	for _, r := range e.racks {
		if !dataRackOnly || r.name == step.Affinity {
			e.addRackCapacity(&capacity, g, r, includeUnavailable)
		}
	}
	if len(g.failedOn) == 0 {
		p.emptyCapacities[key] = capacity
	}
	return capacity
}

// addRack adds the rack's workers to the span.
func (e *Engine) addRackCapacity(capacity *emptyCapacity, g *Group, r *rack, includeUnavailable bool) {
	quickOnly := e.excludesRack(g, r)
	perWorker := work.MaxTasks
	if limit := g.step().MaxPerWorker; limit > 0 {
		perWorker = limit
	}
	total := 0
	for _, w := range r.workers {
		e.examined++
		if !w.open && (!includeUnavailable || e.Closed(w)) || !w.eligible(g) {
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

// suits reports whether the set may ever run on the worker: it is of the right service and carries the label, and no run of
// the set has failed there.
func (w *Worker) eligible(g *Group) bool {
	return w.Service == g.Job.queue.Service && w.hasLabel(g.step().Requires) && !slices.Contains(g.failedOn, w)
}

// patient reports whether waiting for a place near its data, or in one rack, still costs the set less than running three
// times as long elsewhere.
func (e *Engine) worthWaiting(g *Group, now time.Time) bool {
	return now.Sub(g.readyAt) <= time.Duration((e.cfg.RemoteFactor-1)*float64(g.step().Estimate))
}

// nearOnly reports whether the set should wait for the rack that holds its data.
//
// Workers count that get no tasks only at the moment.
func (e *Engine) dataRackOnly(g *Group, now time.Time) bool {
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
		if !e.Closed(w) && !slices.Contains(g.failedOn, w) {
			capacity += g.taskNeed().Count(w.Capacity, g.Count)
		}
	}
	return capacity >= g.Count
}
