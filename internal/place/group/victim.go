package group

import (
	"cmp"
	"slices"
	"time"
)

// harm is what a stop does to the objective of an occurrence; victims with less harm come first.
type harm int

const (
	// harmless is the stop of what is worth nothing to its caller any more.
	harmless harm = iota
	// inTime leaves the occurrence as late as it is expected to be without the stop.
	inTime
	// missesObjective makes the occurrence miss its objective, or end when it is worth nothing any more.
	missesObjective
)

// lossStep is the difference in lossPerCore, in seconds, below which victims count as equally costly: as much as a stop costs a run with
// checkpoints.
const lossStep = 0.5

// newVictim returns what a stop of the run for the requesting task group would cost.
func (e *Engine) newVictim(requesting *Group, run *Run, now time.Time) victim {
	g := run.Group
	v := victim{run: run, priority: g.Job.queue.Priority, endsByItself: run.endsWithin(e.awaitLimit(requesting, now), now)}
	if v.endsByItself {
		return v
	}
	cores := g.totalNeed().Cores()
	v.wastedCoreSeconds = run.unsavedCoreSeconds(now)
	v.wastePerCore = v.wastedCoreSeconds / cores
	v.harm = e.harmOfStop(run, now)
	// The stop itself costs a caller time too, also that of a run which has just begun again.
	lost := v.wastePerCore + g.preemptedWork/cores + e.cfg.StopTimeout.Seconds()*float64(g.preemptions)
	v.lossPerCore = lost * float64(1+g.preemptions)
	return v
}

// harmOfStop estimates what a stop does to the objective of the run's occurrence, if the task group starts again at once.
func (e *Engine) harmOfStop(run *Run, now time.Time) harm {
	g := run.Group
	estimate := g.step().Estimate
	done := estimate
	for _, m := range run.Members {
		done = min(done, time.Duration(float64(m.Percent)/100*float64(estimate)))
	}
	whole := now.Add(g.occ.remaining())
	without := g.occ.latenessAt(whole.Add(-done))
	afterStop := whole.Add(e.cfg.StopTimeout)
	if g.step().Checkpoints {
		afterStop = afterStop.Add(-done)
	}
	switch {
	case without == expired:
		return harmless
	case g.occ.latenessAt(afterStop) > without:
		return missesObjective
	default:
		return inTime
	}
}

// objective is the time from when the occurrence is due in which it is to be completed.
func (occ *occurrence) objective() time.Duration {
	q := &occ.job.queue
	return time.Duration(q.Stretch*float64(occ.job.criticalPath)) + q.Target
}

// latenessAt is the lateness of an occurrence that is completed at the time. A long-running service is useful for as long as it runs, so
// it is never late.
func (occ *occurrence) latenessAt(completion time.Time) int {
	objective := occ.objective()
	switch {
	case occ.job.longRunning || !completion.After(occ.due.Add(objective)):
		return onTime
	case !completion.After(occ.due.Add(expiryFactor * objective)):
		return late
	default:
		return expired
	}
}

// compareVictims orders the runs that end by themselves first and those of quick jobs last, otherwise by harm and then by lossPerCore. Of
// equally costly ones, those of less important queues come first.
func compareVictims(a, b *victim) int {
	if a.endsByItself != b.endsByItself {
		if a.endsByItself {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(min(b.priority, 1), min(a.priority, 1)), cmp.Compare(a.harm, b.harm),
		cmp.Compare(int(a.lossPerCore/lossStep), int(b.lossPerCore/lossStep)),
		cmp.Compare(b.priority, a.priority), cmp.Compare(a.lossPerCore, b.lossPerCore),
	)
}

// preemptRun stops the run for the task group.
func (e *Engine) preemptRun(g *Group, run *Run, why string, now time.Time) {
	run.Group.preemptions++
	run.Group.preemptedWork += run.unsavedCoreSeconds(now)
	e.stopRunFor(g.Job.ID(), run, Preempted, why, now)
}

// stopVictims stops the runs for the task group, except those that end by themselves, which the reservation awaits.
func (e *Engine) stopVictims(g *Group, r *reservation, victims []victim, now time.Time) {
	for _, v := range victims {
		if v.endsByItself {
			r.awaited = append(r.awaited, v.run)
			continue
		}
		e.preemptRun(g, v.run, "preempted by "+g.Job.ID(), now)
	}
	if len(r.awaited) > 0 {
		r.awaitedUntil = now.Add(e.awaitLimit(g, now))
		r.until = r.until.Add(e.awaitLimit(g, now))
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
			e.preemptRun(g, run, "did not end in time for "+g.Job.ID(), now)
		}
	}
}
