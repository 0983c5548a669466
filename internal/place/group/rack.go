package group

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// rack is a rack with its workers.
type rack struct {
	name    string
	workers []*Worker
	// quickOnly is true if the rack is set aside for jobs of priority 0.
	quickOnly bool
}

// refreshRacks rebuilds the racks after workers were added, removed or moved.
func (e *Engine) refreshRacks() {
	if !e.racksStale {
		return
	}
	e.racksStale = false
	known := make(map[string]*rack)
	e.racks = nil
	for _, w := range e.sortedWorkers {
		r := known[w.Rack]
		if r == nil {
			r = &rack{name: w.Rack}
			known[w.Rack] = r
			e.racks = append(e.racks, r)
		}
		r.workers = append(r.workers, w)
		w.rack = r
	}
	place := 0
	for _, r := range e.racks {
		for _, w := range r.workers {
			w.position = place
			place++
		}
	}
	e.racksByName = slices.SortedFunc(slices.Values(e.racks), func(a, b *rack) int { return cmp.Compare(a.name, b.name) })
}

// refreshIndex determines for one decision which workers may get tasks, how full they are, and which racks are set aside.
func (e *Engine) refreshIndex(now time.Time) {
	e.refreshRacks()
	e.refreshUsage(now)
	e.boundClosures(now)
	e.examined = 0
	e.freeIndex.reset()
	e.usableAccelerators = 0
	used := 0
	for _, w := range e.sortedWorkers {
		w.open, w.freeIndex = e.usable(w, now), nil
		w.spare = !w.open && !w.onProbation() && e.answers(w, now)
		if w.open {
			e.freeIndex.add(w)
			e.usableAccelerators += w.Capacity.Accelerators
			used += min(w.Used.Accelerators, w.Capacity.Accelerators)
		}
	}
	e.utilization = float64(used) / float64(max(e.usableAccelerators, 1))
	e.chooseQuickRacks()
}

// rackByName returns the rack with the name, or nil.
func (e *Engine) rackByName(name string) *rack {
	at, found := slices.BinarySearchFunc(e.racksByName, name, func(r *rack, name string) int { return strings.Compare(r.name, name) })
	if !found {
		return nil
	}
	return e.racksByName[at]
}
