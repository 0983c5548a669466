package sets

import (
	"math"
	"slices"
)

// chooseQuickRacks sets racks aside for jobs of priority 0, so that these need not wait until others have stopped.
//
// Whole racks are taken, as most gangs must stay within one; the choice only changes when a rack comes or goes.
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
		// Evenly spread over the names, which group racks by data centre.
		openRacks[i*len(openRacks)/count].quickOnly = true
	}
}

// barred reports whether the set must leave the rack to jobs of priority 0; work that lasts must run wherever there is room.
func (e *Engine) excludesRack(g *Group, r *rack) bool {
	return r.quickOnly && g.Job.queue.Priority != 0 && g.step().Affinity != r.name && !g.step().Lasts
}
