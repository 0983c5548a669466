package sets

import (
	"math"
	"slices"
	"time"
)

// chooseQuickRacks sets racks aside for jobs of priority 0, so that these need not wait until others have stopped.
//
// Whole racks are taken, as most gangs must stay within one; the choice only changes when a rack comes or goes.
func (e *Engine) chooseQuickRacks(now time.Time) {
	usable := make(map[string]int)
	for _, w := range e.order {
		if e.usable(w, now) {
			usable[w.Rack]++
		}
	}
	names := make([]string, 0, len(usable))
	for name := range usable {
		names = append(names, name)
	}
	slices.Sort(names)
	e.quickRacks = make(map[string]bool)
	count := int(math.Floor(e.cfg.QuickShare * float64(len(names))))
	for i := range count {
		// Evenly spread over the names, which group racks by data centre.
		e.quickRacks[names[i*len(names)/count]] = true
	}
}

// barred reports whether the set must leave the rack to jobs of priority 0.
func (e *Engine) barred(s *Set, rack string) bool {
	return e.quickRacks[rack] && e.queue(s.Job).Priority != 0 && s.step().Affinity != rack
}
