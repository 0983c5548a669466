package losses

import (
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Segment is a part of a job's time: work on its longest chain, or a delay with its cause.
type Segment struct {
	From  time.Time `json:"from"`
	To    time.Time `json:"to"`
	Work  bool      `json:"work"`
	Cause Cause     `json:"cause"`
}

// criticalPath is the longest chain of one occurrence of a job, in the order of time.
type criticalPath struct {
	segments []Segment
	work     time.Duration
	// from is when the caller began to wait, to when the end was shown to it.
	from, to time.Time
}

// add appends a segment; empty ones are left out.
func (w *criticalPath) add(from, to time.Time, isWork bool, cause Cause) {
	if !to.After(from) {
		return
	}
	w.segments = append(w.segments, Segment{From: from, To: to, Work: isWork, Cause: cause})
	if isWork {
		w.work += to.Sub(from)
	}
}

// addDelay appends a delay whose cause is the given one, except for the parts in which no owner decided.
func (w *criticalPath) addDelay(c *evidence, from, to time.Time, cause Cause) {
	for _, gap := range c.ownerGaps {
		if gap.from.Before(to) && gap.to.After(from) {
			w.add(from, latest(from, gap.from), false, cause)
			until := gap.to
			if to.Before(until) {
				until = to
			}
			w.add(latest(from, gap.from), until, false, OwnerChanging)
			from = until
		}
	}
	w.add(from, to, false, cause)
}

// criticalPaths returns the critical paths of all occurrences of the job that were due.
func (t *Timeline) criticalPaths(c *evidence) []criticalPath {
	spec := work.Spec{Steps: t.Steps, Repeat: t.Repeat}
	var list []criticalPath
	for occurrence := range spec.Occurrences() {
		due := t.Received
		if t.Repeat != nil {
			due = t.Repeat.Start.Add(time.Duration(occurrence) * t.Repeat.Interval)
		}
		if due.Before(c.end) {
			list = append(list, t.criticalPath(c, occurrence, due))
		}
	}
	return list
}

// chain returns the steps of the longest chain in their order: the step that ended last, and before each the last one that it
// waited for.
func (t *Timeline) chain(ends []time.Time) []int {
	steps := make([]int, len(t.Steps))
	for i := range steps {
		steps[i] = i
	}
	var chain []int
	for len(steps) > 0 {
		last := slices.MaxFunc(steps, func(a, b int) int { return ends[a].Compare(ends[b]) })
		chain = append(chain, last)
		steps = t.Steps[last].After
	}
	slices.Reverse(chain)
	return chain
}

// criticalPath returns the longest chain of one occurrence with the delays on it.
func (t *Timeline) criticalPath(c *evidence, occurrence int, due time.Time) criticalPath {
	w := criticalPath{from: due}
	at := due
	if t.Repeat == nil {
		w.addDelay(c, t.Received, t.Accepted, c.storeOr(t.admission(), t.Received, t.Accepted))
		w.addDelay(c, t.Accepted, t.Seen, c.storeOr(Unexplained, t.Accepted, t.Seen))
		at = latest(t.Received, t.Seen)
	}
	for _, step := range t.chain(t.stepEnds(c, occurrence)) {
		if g := t.lastGroup(c, occurrence, step); g != nil {
			at = t.addGroup(&w, c, g, at)
		}
	}
	w.to = t.addEnd(&w, c, at)
	return w
}

// admission returns the cause of a delay before the job was accepted.
func (t *Timeline) admission() Cause {
	if len(t.Refusals) > 0 {
		return t.Refusals[0].Cause
	}
	return Unexplained
}

// addEnd adds the time from the end of the work to its showing to the caller, and returns when that was. Each occurrence of a
// repeating job ends with its work.
func (t *Timeline) addEnd(w *criticalPath, c *evidence, at time.Time) time.Time {
	if t.Repeat != nil {
		return at
	}
	if t.Phase == "" {
		w.addDelay(c, at, c.end, c.storeIfUnknown(t.waitAt(c.end), at, c.end))
		return c.end
	}
	end := latest(at, t.Ended)
	w.addDelay(c, at, end, Unexplained)
	shown := latest(end, latest(t.Recorded, t.Shown))
	w.addDelay(c, end, shown, c.storeOr(EndNotShown, end, shown))
	return shown
}

// waitAt returns the cause of the job's wait as of the time.
func (t *Timeline) waitAt(at time.Time) Cause {
	cause := Unexplained
	for _, w := range t.waits {
		if !w.at.After(at) {
			cause = w.cause
		}
	}
	return cause
}

// stepEnds returns when each step of the occurrence was done, or the end of the job.
func (t *Timeline) stepEnds(c *evidence, occurrence int) []time.Time {
	ends := make([]time.Time, len(t.Steps))
	for _, g := range t.groups {
		if g.occurrence == occurrence && g.step < len(ends) {
			ends[g.step] = latest(ends[g.step], g.end(t.end(c)))
		}
	}
	return ends
}

// end returns when the group was done, or jobEnd if no line says so.
func (g *taskGroup) end(jobEnd time.Time) time.Time {
	for _, a := range g.attempts {
		if a.done {
			return a.ended
		}
	}
	return jobEnd
}

// lastGroup returns the group of the step that was done last.
func (t *Timeline) lastGroup(c *evidence, occurrence, step int) *taskGroup {
	var found *taskGroup
	for _, g := range t.groups {
		if g.occurrence == occurrence && g.step == step && (found == nil || g.end(t.end(c)).After(found.end(t.end(c)))) {
			found = g
		}
	}
	return found
}

// addGroup adds the attempts of a group that was ready at the given time, and returns when it was done.
func (t *Timeline) addGroup(w *criticalPath, c *evidence, g *taskGroup, ready time.Time) time.Time {
	slices.SortFunc(g.attempts, func(a, b *attempt) int { return a.run - b.run })
	at, cause := ready, Unexplained
	for i, a := range g.attempts {
		placed := latest(at, a.placed)
		t.addWait(w, c, at, placed, cause)
		started := latest(placed, a.started)
		w.addDelay(c, placed, started, c.storeOr(c.silence(a.worker, placed, started), placed, started))
		last := i == len(g.attempts)-1
		at = latest(started, a.lastMoment(t.end(c), last))
		switch {
		case a.done:
			t.addWork(w, c, a, started, at)
		case a.failed || t.Steps[g.step].Checkpoints || last && a.open():
			w.add(started, at, true, Unexplained)
		default:
			w.addDelay(c, started, at, c.silenceOr(a, started, at))
		}
		cause = c.silenceOr(a, started, at)
		if a.done {
			break
		}
	}
	return at
}

// slowSpeed is the speed below which a worker counts as slow; tasks of a step differ in length, so smaller differences say little.
const slowSpeed = 0.5

// endHeardWithin is the time after a new owner's first line within which an end counts as one that waited for that owner.
const endHeardWithin = 500 * time.Millisecond

// addWork adds a run that succeeded: its work on a sound worker, and as delays what a slow worker added and the time until
// its end was known.
func (t *Timeline) addWork(w *criticalPath, c *evidence, a *attempt, from, to time.Time) {
	heard := to
	to = latest(from, to.Add(-a.overdue))
	cause := c.silence(a.worker, to, heard)
	for _, gap := range c.ownerGaps {
		if gap.to.After(from) && !gap.to.After(heard) && heard.Sub(gap.to) < endHeardWithin && gap.from.Before(to) {
			to, cause = latest(from, gap.from), OwnerChanging
		}
	}
	sound := to
	if a.speed > 0 && a.speed < slowSpeed {
		sound = from.Add(time.Duration(float64(to.Sub(from)) * a.speed))
	}
	w.add(from, sound, true, Unexplained)
	w.add(sound, to, false, WorkerSilent)
	w.add(to, heard, false, c.storeOr(cause, to, heard))
}

// open reports whether no line tells how the attempt ended.
func (a *attempt) open() bool { return !a.done && a.stopped.IsZero() && a.ended.IsZero() }

// lastMoment returns when the attempt stopped working; an open one that is the last worked until end.
func (a *attempt) lastMoment(end time.Time, last bool) time.Time {
	switch {
	case a.done:
		return a.ended
	case !a.stopped.IsZero():
		return a.stopped
	case !a.ended.IsZero():
		return a.ended
	case last:
		return end
	default:
		return a.started
	}
}

// end returns when the job ended, or the end of the logs if it did not.
func (t *Timeline) end(c *evidence) time.Time {
	if t.Ended.IsZero() {
		return c.end
	}
	return t.Ended
}

// addWait adds the wait for room between two attempts, split where the owner named another cause. A wait after an attempt
// that was stopped or broken has that cause until the owner names one.
func (t *Timeline) addWait(w *criticalPath, c *evidence, from, to time.Time, cause Cause) {
	for _, named := range t.waits {
		if cause == Unexplained && !named.at.After(from) {
			cause = named.cause
		}
		if named.at.After(from) && named.at.Before(to) && !cause.afterRun() {
			w.addDelay(c, from, named.at, c.storeIfUnknown(cause, from, named.at))
			from, cause = named.at, named.cause
		}
	}
	w.addDelay(c, from, to, c.storeIfUnknown(cause, from, to))
}

// afterRun reports whether the cause is that of a run's end, which then also explains the wait for the next run.
func (c Cause) afterRun() bool {
	return c == Preempted || c == RunFailed || c == WorkerSilent || c == CutOff
}

// lateness returns how much later than its objective the critical path ended, zero if it did not. The chain counts as long as
// its work took, since only its run tells how long it is.
func (t *Timeline) lateness(w *criticalPath) time.Duration {
	objective := time.Duration(t.Stretch*float64(w.work)) + t.Target
	return max(w.to.Sub(w.from)-objective, 0)
}

// attribute splits the lateness among the delays of the critical path, in proportion to their lengths.
func (w *criticalPath) attribute(lateness time.Duration) map[Cause]time.Duration {
	delays := make(map[Cause]time.Duration)
	total := time.Duration(0)
	for _, s := range w.segments {
		if !s.Work {
			delays[s.Cause] += s.To.Sub(s.From)
			total += s.To.Sub(s.From)
		}
	}
	left := lateness
	for cause, delay := range delays {
		delays[cause] = time.Duration(float64(lateness) * min(delay.Seconds()/max(total.Seconds(), lateness.Seconds()), 1))
		left -= delays[cause]
	}
	delays[Unexplained] += max(left, 0)
	return delays
}
