package group

import (
	"math"
	"time"
)

const (
	// crashClearedAfter is how long a run must have lasted for a crash of its worker to tell nothing of the task, and to clear it of
	// earlier ones: tasks that crash workers do so soon after their start.
	crashClearedAfter = 10 * time.Second
	// maxExpectedCrashes is how many crashes may have been expected during a run, by the rate at which workers crash, for one to count.
	maxExpectedCrashes = 0.2
	// crashRateWindow is over how long the rate is measured: long enough for several crashes in a small fleet.
	crashRateWindow = time.Minute
	// priorCrashInterval is the time between crashes of a worker that a new owner assumes.
	priorCrashInterval = 5 * time.Minute
	// firstSuspectInterval is between two runs of a long-running task once its crashes would fail another job; it doubles with each crash,
	// up to maxSuspectInterval. At the bound, the job costs at most one crash of a worker a minute.
	firstSuspectInterval = 2 * time.Second
	maxSuspectInterval   = time.Minute
)

// crashRate measures how often workers crash, whatever runs there.
type crashRate struct {
	// crashes and atRisk are the crashes and the worker-seconds of the last crashRateWindow, older ones with exponentially less weight.
	crashes  float64
	atRisk   float64
	measured time.Time
}

// advance adds the time since the last call, in which so many workers could have crashed.
func (r *crashRate) advance(workers int, now time.Time) {
	if !r.measured.IsZero() {
		passed := now.Sub(r.measured)
		kept := math.Exp(-passed.Seconds() / crashRateWindow.Seconds())
		r.crashes, r.atRisk = r.crashes*kept, r.atRisk*kept+passed.Seconds()*float64(workers)
	}
	r.measured = now
}

// expected returns how many crashes of a worker are expected in a time.
func (r *crashRate) expected(d time.Duration) float64 {
	return d.Seconds() * (r.crashes + 1) / (r.atRisk + priorCrashInterval.Seconds())
}

// measureCrashRate counts the worker-seconds at risk until now.
func (e *Engine) measureCrashRate(now time.Time) {
	answering := 0
	for _, w := range e.sortedWorkers {
		if w.Listed && !w.silent(now) {
			answering++
		}
	}
	e.crashRate.advance(answering, now)
}

// countCrash counts a crash of the worker, unless it was draining: then it was shut down.
func (e *Engine) countCrash(w *Worker) {
	if !w.Draining {
		e.crashRate.crashes++
	}
}

// crashTells reports whether a crash of its worker tells anything of the member: it had not run for long, and crashes are rare enough.
func (e *Engine) crashTells(m *Member, evidence crashEvidence, now time.Time) bool {
	return evidence.blamed || !m.ranLong(now) && e.crashRate.expected(m.ran(now)) <= maxExpectedCrashes
}

// ranLong reports whether the member had run for so long when its worker crashed that it is cleared of earlier crashes.
func (m *Member) ranLong(now time.Time) bool { return m.ran(now) > crashClearedAfter }

// ran returns how long the member had run when its worker crashed, as far as this owner knows.
func (m *Member) ran(now time.Time) time.Duration {
	until := now
	if m.Worker.brokenAt.After(m.Run.PlannedAt) {
		until = m.Worker.brokenAt
	}
	return until.Sub(latest(m.startAckedAt, m.Run.PlannedAt))
}

// excessCrashes returns how many crashes a task of the group has beyond those that fail its job, at least zero; found is false if there
// have not been as many.
func (g *Group) excessCrashes() (excess int, found bool) {
	for _, c := range g.record().Crashes {
		if c.Suspected >= maxSuspectedCrashes || c.Count >= maxCrashes {
			excess, found = max(excess, c.Suspected-maxSuspectedCrashes, c.Count-maxCrashes), true
		}
	}
	return excess, found
}

// suspectInterval is the time between two runs of the long-running group while it is suspected, zero if its crashes are too few.
func (g *Group) suspectInterval() time.Duration {
	excess, found := g.excessCrashes()
	if !found || !g.step().LongRunning || !g.suspected() {
		return 0
	}
	interval := firstSuspectInterval
	for ; excess > 0 && interval < maxSuspectInterval; excess-- {
		interval *= 2
	}
	return min(interval, maxSuspectInterval)
}

// heldAsSuspect reports whether the group waits for its turn among the job's task groups that may have crashed several workers.
func (g *Group) heldAsSuspect(now time.Time) bool {
	interval := g.suspectInterval()
	if interval == 0 {
		return false
	}
	if g.Job.nextSuspectAt.IsZero() {
		// When the last crash was is not on record.
		g.Job.nextSuspectAt = g.readyAt.Add(interval)
	}
	return now.Before(g.Job.nextSuspectAt)
}

// delaySuspects lets no other such group of the job begin before the interval of this one has passed.
func (g *Group) delaySuspects(now time.Time) {
	if interval := g.suspectInterval(); interval > 0 {
		g.Job.nextSuspectAt = latest(g.Job.nextSuspectAt, now.Add(interval))
	}
}

// restartAfterCrash suspects the long-running group, so that it runs alone and at growing intervals, instead of failing its job.
func (e *Engine) restartAfterCrash(g *Group, now time.Time) {
	g.record().MayCrash = true
	g.delaySuspects(now)
	e.markGroupChanged(g)
}
