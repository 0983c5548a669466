package group

import (
	"math"
	"slices"
)

// chooseQuickRacks sets racks aside for jobs of priority 0, so that they need not wait until other tasks have stopped.
//
// It takes entire racks, as most gangs must stay within one; the choice only changes when the racks with open workers do.
func (e *Engine) chooseQuickRacks() {
	openRacks := make([]*rack, 0, len(e.racksByName))
	for _, r := range e.racksByName {
		r.quickOnly = false
		if slices.ContainsFunc(r.workers, func(w *Worker) bool { return w.open }) {
			openRacks = append(openRacks, r)
		}
	}
	count := int(math.Floor(e.cfg.QuickRackShare * float64(len(openRacks))))
	for i := range count {
		// This spreads the choice evenly over the names, which group racks by data centre.
		openRacks[i*len(openRacks)/count].quickOnly = true
	}
}

// excludesRack reports whether the group must leave the rack to jobs of priority 0. Long-running tasks may use any rack, as
// they must run wherever there is room.
func (e *Engine) excludesRack(g *Group, r *rack) bool {
	return r.quickOnly && g.Job.queue.Priority != 0 && g.step().Affinity != r.name && !g.step().LongRunning
}
