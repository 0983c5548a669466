package group

import (
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// recordFailure counts a failed run once, and fails the job after the maximum number of attempts.
func (e *Engine) recordFailure(g *Group, m *Member, now time.Time) {
	rec := g.record()
	if rec.FailedRun == m.Run.Number || rec.Done {
		return
	}
	rec.Failures++
	rec.FailedRun = m.Run.Number
	if !g.step().LongRunning {
		// A long-running task group may fail any number of times, so it would come to prefer none.
		e.preferOthers(g, m.Worker, now)
	}
	e.pauseAfterFailure(m, now)
	j := g.Job
	if rec.Failures >= e.queue(j).MaxAttempts && !j.Record.Phase.Final() && !g.step().LongRunning {
		e.finishJob(j, work.Failed, "a task group failed as often as its queue allows", now)
	}
}

// preferOthers makes the group prefer other workers than the one on which a run of it failed. If these have no room, it returns
// after a delay.
func (e *Engine) preferOthers(g *Group, w *Worker, now time.Time) {
	g.record().AddFailedOn(w.ID)
	g.retryFailedAt = now.Add(e.failureDelay(g))
}

// failureDelay returns how long the group stays away from workers on which it failed. It doubles with each failure, and is longest
// before the last attempt, as a worker that is at fault fails each attempt.
func (e *Engine) failureDelay(g *Group) time.Duration {
	failures := g.record().Failures
	if failures+1 >= e.queue(g.Job).MaxAttempts {
		return e.cfg.RepeatedFailurePause
	}
	delay := e.cfg.FirstFailurePause
	for n := 1; n < failures && delay < e.cfg.RepeatedFailurePause; n++ {
		delay *= 2
	}
	return min(delay, e.cfg.RepeatedFailurePause)
}

// hasFailed reports whether the group prefers other workers than those on which a run of it failed.
func (g *Group) hasFailed() bool { return len(g.record().FailedOn) > 0 }

// failedOn reports whether a run of the group failed on the worker.
func (g *Group) failedOn(w *Worker) bool { return slices.Contains(g.record().FailedOn, w.ID) }

// mayRetryFailed reports whether the group may return to workers on which it failed.
func (g *Group) mayRetryFailed(now time.Time) bool {
	return g.hasFailed() && !now.Before(g.retryFailedAt)
}

// pauseAfterFailure keeps new tasks off a worker after a failure, and longer after failures of several distinct task groups.
func (e *Engine) pauseAfterFailure(m *Member, now time.Time) {
	w, j := m.Worker, m.Run.Group.Job
	c := &w.failures
	j.noteOutcome(w, true, now)
	c.note(m.Run.Group, now)
	if e.failsAnywhere(j, now) || now.Before(c.until) && m.Run.PlannedAt.Before(c.longSince) {
		// What started before a long pause is no reason for another one.
		return
	}
	pause := e.cfg.FirstFailurePause
	switch {
	case len(c.groups) >= e.cfg.FailuresBeforePause:
		pause = e.cfg.RepeatedFailurePause
		c.groups, c.longSince = nil, now
	case !m.startAckedAt.IsZero() && now.Sub(m.startAckedAt) < e.cfg.EarlyFailureWindow:
		pause = e.cfg.EarlyFailurePause
	}
	c.until, c.exempt = latest(c.until, now.Add(pause)), false
	e.emit(Decision{Kind: WorkerAvoided, Worker: w.ID, Job: j.ID(), Text: "a task failed on this worker; no new tasks for " + pause.String()})
}
