package sets

import (
	"math"
	"slices"
)

// chooseQuickRacks sets racks aside for jobs of priority 0, so that these need not wait until others have stopped.
//
// Whole racks are taken, as most gangs must stay within one; the choice only changes when a rack comes or goes.
func (e *Engine) chooseQuickRacks() {
	names := make([]*rack, 0, len(e.racksByName))
	for _, r := range e.racksByName {
		r.quick = false
		if slices.ContainsFunc(r.workers, func(w *Worker) bool { return w.open }) {
			names = append(names, r)
		}
	}
	count := int(math.Floor(e.cfg.QuickShare * float64(len(names))))
	for i := range count {
		// Evenly spread over the names, which group racks by data centre.
		names[i*len(names)/count].quick = true
	}
}

// barred reports whether the set must leave the rack to jobs of priority 0; work that lasts must run wherever there is room.
func (e *Engine) barred(s *Set, r *rack) bool {
	return r.quick && s.Job.rules.Priority != 0 && s.step().Affinity != r.name && !s.step().Lasts
}
