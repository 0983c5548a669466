package term

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/group"
)

const (
	// standingTick is how often the owner checks whether it may start tasks and whether lines are due.
	standingTick = 100 * time.Millisecond
	// standingInterval is the minimum time between two reports of jobs that stand, and between two of forbidden starts.
	standingInterval = time.Second
	// forbiddenAfter is how long starts must be forbidden before that is logged.
	forbiddenAfter = 500 * time.Millisecond
)

// standingLog logs what keeps the owner, or single jobs, from running anything.
type standingLog struct {
	*term
	// jobsAt is when the jobs that stand were last looked for.
	jobsAt time.Time
	// forbiddenSince is since when starts are forbidden, zero while they are allowed; forbiddenAt is when that was last logged,
	// zero if it was not.
	forbiddenSince time.Time
	forbiddenAt    time.Time
}

// watchStanding logs jobs that stand and forbidden starts until the term ends.
func (t *term) watchStanding(ctx context.Context) {
	began := t.Now()
	// Nothing may start until the records are loaded.
	l := &standingLog{term: t, jobsAt: began, forbiddenSince: began}
	for pause.For(ctx, standingTick) {
		now := t.Now()
		t.state.Lock()
		lines := l.due(now)
		t.state.Unlock()
		for _, line := range lines {
			t.Log.Emit(line.kind, line.fields)
		}
	}
}

// line is an event to log.
type line struct {
	kind   event.Kind
	fields event.Fields
}

// due returns the lines that are due. The caller holds t.state.
func (l *standingLog) due(now time.Time) []line {
	lines := l.dueStarts(now)
	if now.Sub(l.jobsAt) < standingInterval {
		return lines
	}
	l.jobsAt = now
	for _, s := range l.engine.Standing(now) {
		fields := standingFields(s)
		fields["token"], fields["mayStart"] = l.token, l.forbiddenSince.IsZero()
		lines = append(lines, line{event.JobStands, fields})
	}
	return lines
}

// dueStarts returns the line about forbidden starts, or about their end, if one is due. The caller holds t.state.
func (l *standingLog) dueStarts(now time.Time) []line {
	by := l.startsForbiddenBy(now)
	if len(by) == 0 {
		since, logged := l.forbiddenSince, !l.forbiddenAt.IsZero()
		l.forbiddenSince, l.forbiddenAt = time.Time{}, time.Time{}
		if !logged {
			return nil
		}
		return []line{{event.StartsAllowed, event.Fields{"token": l.token, "lasted": now.Sub(since).String()}}}
	}
	if l.forbiddenSince.IsZero() {
		l.forbiddenSince = now
	}
	lasted := now.Sub(l.forbiddenSince)
	if lasted < forbiddenAfter || !l.forbiddenAt.IsZero() && now.Sub(l.forbiddenAt) < standingInterval {
		return nil
	}
	l.forbiddenAt = now
	fields := l.ages(now)
	fields["token"], fields["lasted"], fields["by"] = l.token, lasted.String(), by
	return []line{{event.StartsForbidden, fields}}
}

// startsForbiddenBy returns what keeps the owner from starting any task, or nil. The caller holds t.state.
func (t *term) startsForbiddenBy(now time.Time) (by []string) {
	if t.loadedRevision == 0 {
		return append(by, "load")
	}
	if t.mayStart(now) {
		return nil
	}
	_, confirmedAt := t.Policy.Current()
	if !t.leaseValid(now) {
		by = append(by, "lease")
	}
	if now.Sub(confirmedAt) >= t.policyAge() {
		by = append(by, "configuration")
	}
	if now.Sub(t.listedAt) >= t.Limits.ListAge {
		by = append(by, "list")
	}
	return by
}

// ages returns the ages of all that the owner needs to start tasks, and their limits. The caller holds t.state.
func (t *term) ages(now time.Time) event.Fields {
	_, confirmedAt := t.Policy.Current()
	const leaseLimit = leaseTTL - leaseMargin
	return event.Fields{
		"leaseAge": ageOf(t.validUntil.Add(-leaseLimit), now), "leaseLimit": leaseLimit.String(),
		"configurationAge": ageOf(confirmedAt, now), "configurationLimit": t.policyAge().String(),
		"listAge": ageOf(t.listedAt, now), "listLimit": t.Limits.ListAge.String(),
	}
}

// ageOf returns the time since at, or "never" if it is zero.
func ageOf(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).String()
}

// standingFields returns the fields of the line about a job that stands; those that don't apply are left out.
func standingFields(s group.Standing) event.Fields {
	fields := event.Fields{
		"job": s.Job, "task": s.Task, "state": s.State.String(), "lasted": s.Lasted.String(), "ready": s.Ready, "same": s.Same, "others": s.Others,
		"service": s.Service, "workers": s.Fleet.Workers, "open": s.Fleet.Open, "fits": s.Fleet.Fits,
	}
	for name, text := range map[string]string{"worker": s.Worker, "why": s.Why} {
		if text != "" {
			fields[name] = text
		}
	}
	for name, duration := range map[string]time.Duration{"remaining": s.Remaining, "avoidedFor": s.Fleet.AvoidedFor} {
		if duration != 0 {
			fields[name] = duration.String()
		}
	}
	for name, number := range map[string]int{"run": s.Run, "behind": s.Behind} {
		if number != 0 {
			fields[name] = number
		}
	}
	for name, room := range map[string]group.Resources{"used": s.Fleet.Used, "free": s.Fleet.Free, "reserved": s.Fleet.Reserved, "backfill": s.Fleet.Backfill} {
		if room != (group.Resources{}) {
			fields[name] = map[string]int{"accelerators": room.Accelerators, "milliCores": room.MilliCores}
		}
	}
	if len(s.Fleet.Excluded) > 0 {
		leftOut := make(map[string]int, len(s.Fleet.Excluded))
		for reason, workers := range s.Fleet.Excluded {
			leftOut[reason.String()] = workers
		}
		fields["leftOut"] = leftOut
	}
	return fields
}

// loadedFields returns the fields of the line about a term that was loaded. The caller holds t.state.
func (t *term) loadedFields(started, now time.Time) event.Fields {
	in := t.engine.Inheritance(now)
	fields := event.Fields{"token": t.token, "jobs": t.engine.Jobs(), "took": now.Sub(started).String()}
	if in.Tasks > 0 {
		fields["inheritedTasks"], fields["inheritedWorkers"], fields["inheritedFor"] = in.Tasks, in.Workers, in.Longest.String()
	}
	return fields
}
