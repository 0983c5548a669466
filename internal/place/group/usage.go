package group

import "time"

// usage is the capacity of a service's workers that answer, and how much of it is in use.
type usage struct{ capacity, used Resources }

// add adds the worker to the usage of its service.
func (u *usage) add(w *Worker) {
	u.capacity = u.capacity.Add(w.Capacity)
	u.used = u.used.Add(Resources{
		min(w.Used.MilliCores, w.Capacity.MilliCores), min(w.Used.MemoryMB, w.Capacity.MemoryMB), min(w.Used.Accelerators, w.Capacity.Accelerators),
	})
}

// acceleratorShare returns the share of the accelerators that is in use.
func (u *usage) acceleratorShare() float64 {
	return float64(u.used.Accelerators) / float64(max(u.capacity.Accelerators, 1))
}

// refreshUsage determines for one decision how much of each service is in use.
func (e *Engine) refreshUsage(now time.Time) {
	e.usages = make(map[string]*usage, len(e.usages))
	for _, w := range e.sortedWorkers {
		if e.Closed(w) || now.Sub(w.LastSeen) > e.cfg.SeenWithin {
			continue
		}
		if e.usages[w.Service] == nil {
			e.usages[w.Service] = &usage{}
		}
		e.usages[w.Service].add(w)
	}
}

// usageFor returns the usage of the service that the group needs.
func (e *Engine) usageFor(g *Group) *usage {
	if u := e.usages[g.Job.queue.Service]; u != nil {
		return u
	}
	return &usage{}
}

// fragmented reports whether the group, if it is a gang that finds no room, is blocked by fragmentation rather than lack of capacity.
func (e *Engine) fragmented(g *Group) bool {
	return e.usageFor(g).acceleratorShare() < fragmentedBelow
}
