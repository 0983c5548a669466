package group

import (
	"slices"
	"time"
)

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

// lowestShare returns the share that is in use of the accelerators, or of all cores and accelerators together, whichever is lower.
func (u *usage) lowestShare() float64 {
	if capacity := u.capacity.Cores(); capacity > 0 {
		return min(u.acceleratorShare(), u.used.Cores()/capacity)
	}
	return 0
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

// overdueDelay is how long a group waits for the room that suits it best: long-running tasks must run within three seconds, and some of each
// other job while less than half of its service is in use.
const overdueDelay = 2 * time.Second

// overdue reports whether the group has waited so long that any room is better for it than to wait on.
func (e *Engine) overdue(g *Group, now time.Time) bool {
	return now.Sub(g.readyAt) > overdueDelay && (g.step().LongRunning || e.mostlyFree(g) && g.Job.stands(now))
}

// mostlyFree reports whether less than half of the group's service is in use.
func (e *Engine) mostlyFree(g *Group) bool { return e.usageFor(g).lowestShare() < fragmentedBelow }

// stands reports whether nothing of the job runs or is about to, apart from what may be alive on workers that don't answer. It is
// computed once in a decision.
func (j *Job) stands(now time.Time) bool {
	if !j.standsAt.Equal(now) {
		j.standsAt, j.standing = now, j.nothingRuns(now)
	}
	return j.standing
}

func (j *Job) nothingRuns(now time.Time) bool {
	return !slices.ContainsFunc(j.groups, func(g *Group) bool {
		return g.Run != nil && g.Run.stopReason == "" && !g.Run.broken() && !g.Run.silent(now)
	})
}

// silent reports whether a worker of the run has not answered for a while.
func (r *Run) silent(now time.Time) bool {
	return slices.ContainsFunc(r.Members, func(m *Member) bool { return m.Worker.silent(now) })
}

// fragmented reports whether the group, if it is a gang that finds no room, is blocked by fragmentation rather than lack of capacity.
func (e *Engine) fragmented(g *Group) bool {
	return e.usageFor(g).acceleratorShare() < fragmentedBelow
}
