package group

import "time"

const (
	// estimateError is by how much a caller's estimate may be off.
	estimateError = 2
	// awaitLimitStep is the precision of awaitLimit, so that requesters of one decision share the search for victims.
	awaitLimitStep = 250 * time.Millisecond
	// maxAwaitShare bounds awaitLimit relative to the estimate of the task group, as room that is free early stays idle for it.
	maxAwaitShare = 0.5
)

// awaitLimit is how long the task group waits for the end of a run rather than for its stop. A quick one waits for as long as it still
// meets its objective if the run has to be stopped after all; one within its guarantee must start within 2.7 s (reclaimMs).
func (e *Engine) awaitLimit(g *Group, now time.Time) time.Duration {
	switch {
	case g.Job.withinGuarantee:
		return e.cfg.StopTimeout / 2
	case g.Job.queue.Priority != 0:
		return e.cfg.StopTimeout
	}
	spare := g.occ.due.Add(g.occ.objective()).Sub(now.Add(g.occ.remaining())) - e.cfg.StopTimeout
	limit := min(spare, time.Duration(maxAwaitShare*float64(g.step().Estimate)))
	return max(limit.Truncate(awaitLimitStep), e.cfg.StopTimeout)
}

// missesObjective reports whether the group's occurrence can't meet its objective any more, even if its work takes much less time than
// estimated. While less than half of its service is in use, every job must get to run, so this reports false.
func (e *Engine) missesObjective(g *Group, now time.Time) bool {
	return e.usageFor(g).lowestShare() >= fragmentedBelow && g.occ.latenessAt(now.Add(g.occ.remaining()/estimateError)) != onTime
}
