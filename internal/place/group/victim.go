package group

import (
	"cmp"
	"slices"
	"time"
)

// newVictim returns what a stop of the run for the task group would cost.
func (e *Engine) newVictim(g *Group, run *Run, now time.Time) victim {
	v := victim{run: run, priority: run.Group.Job.queue.Priority, endsByItself: run.endsWithin(e.awaitLimit(g), now)}
	if !v.endsByItself {
		v.wastedCoreSeconds = run.unsavedCoreSeconds(now)
		v.wastePerCore = v.wastedCoreSeconds / run.Group.totalNeed().Cores()
	}
	return v
}

// awaitLimit is how long the task group waits for the end of a run rather than for its stop. A job within its guarantee must start
// within 2.7 s (reclaimMs), also if the run has to be stopped after all.
func (e *Engine) awaitLimit(g *Group) time.Duration {
	if g.Job.withinGuarantee {
		return e.cfg.StopTimeout / 2
	}
	return e.cfg.StopTimeout
}

// compareVictims orders the runs that end by themselves first and those of quick jobs last, otherwise by wastePerCore.
func compareVictims(a, b *victim) int {
	switch {
	case a.endsByItself != b.endsByItself && a.endsByItself:
		return -1
	case a.endsByItself != b.endsByItself:
		return 1
	default:
		return cmp.Or(cmp.Compare(min(b.priority, 1), min(a.priority, 1)), cmp.Compare(a.wastePerCore, b.wastePerCore))
	}
}

// stopVictims stops the runs for the task group, except those that end by themselves, which the reservation awaits.
func (e *Engine) stopVictims(g *Group, r *reservation, victims []victim, now time.Time) {
	for _, v := range victims {
		if v.endsByItself {
			r.awaited = append(r.awaited, v.run)
			continue
		}
		e.stopRunFor(g.Job.ID(), v.run, Preempted, "preempted by "+g.Job.ID(), now)
	}
	if len(r.awaited) > 0 {
		r.awaitedUntil = now.Add(e.awaitLimit(g))
		r.until = r.until.Add(e.awaitLimit(g))
	}
}

// stopAwaited stops the runs that the group's reservation awaits and that have not ended in time, as progress may have slowed down.
func (e *Engine) stopAwaited(g *Group, now time.Time) {
	r := g.reservation
	if r == nil || len(r.awaited) == 0 || now.Before(r.awaitedUntil) {
		return
	}
	runs := slices.Clone(r.awaited)
	r.awaited = nil
	for _, run := range runs {
		if run.aliveMembers > 0 && run.stopReason == "" {
			e.stopRunFor(g.Job.ID(), run, Preempted, "did not end in time for "+g.Job.ID(), now)
		}
	}
}
