package group

import (
	"cmp"
	"slices"
	"time"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=StandingState,Exclusion -trimprefix=Stands,Excluded -transform=title-lower -output=standing_enumer.go

// StandingState is what a task group waits for that could run and doesn't.
type StandingState int

// The states, those first that name the cause of a job with task groups in several of them.
const (
	// StandsHeld means that the run counts as alive, as its worker is silent and its lease may not have expired.
	StandsHeld StandingState = iota
	// StandsStopping means that the end of a run that was ordered to stop is awaited.
	StandsStopping
	// StandsOrdered means that a start was ordered and not acknowledged.
	StandsOrdered
	// StandsInherited means that the worker answers and has not shown yet whether a run of an earlier owner is alive.
	StandsInherited
	// StandsRejected means that the store has rejected the record of the planned run.
	StandsRejected
	// StandsPlanned means that the record of the planned run is not durable.
	StandsPlanned
	// StandsRetry means that the task group keeps away from the workers on which it failed.
	StandsRetry
	// StandsReserved means that room is reserved for the task group and not free yet.
	StandsReserved
	// StandsWithoutRoom means that the task group has neither a run nor a reservation.
	StandsWithoutRoom
)

const (
	// standsAfter is how long a job may have nothing running before it is returned by Standing.
	standsAfter = 3 * time.Second
	// maxStanding limits the jobs that Standing returns.
	maxStanding = 8
)

// Standing is a job with task groups that could run and of which none does.
type Standing struct {
	Job string
	// Task is the first task of the task group that others of the job may wait for; Run is its present run, or zero.
	Task   string
	Run    int
	State  StandingState
	Lasted time.Duration
	// Worker is the one that the state depends on, or empty; Remaining is the time until the state ends at the latest, or zero.
	Worker    string
	Remaining time.Duration
	Why       string
	// Ready counts the job's task groups that could run, Same those in the same state.
	Ready int
	Same  int
	// Behind counts the steps of the occurrence that wait for others.
	Behind int
	// Others counts the further jobs that stand for the same cause.
	Others  int
	Service string
	// Fleet describes the workers with the service and label that the task group needs.
	Fleet Fleet

	group *Group
	since time.Time
}

// standingCause is what distinguishes the causes of jobs that stand.
type standingCause struct {
	state             StandingState
	why               string
	service, requires string
}

// Standing returns jobs of which no task group that could run has been running for some seconds: of each cause the one that stands
// for longest, at most maxStanding. It is to be called about once a second.
func (e *Engine) Standing(now time.Time) []Standing {
	byCause := make(map[standingCause]*Standing)
	for _, j := range e.openJobs {
		s, stands := e.standing(j, now)
		if !stands || s.Lasted < standsAfter {
			continue
		}
		cause := standingCause{state: s.State, service: s.Service, requires: s.group.step().Requires}
		if s.State == StandsHeld {
			cause.why = s.Why
		}
		known := byCause[cause]
		switch {
		case known == nil:
			byCause[cause] = &s
		case s.since.Before(known.since):
			s.Others = known.Others + 1
			*known = s
		default:
			known.Others++
		}
	}
	list := make([]Standing, 0, len(byCause))
	for _, s := range byCause {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Standing) int { return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.Job, b.Job)) })
	list = list[:min(len(list), maxStanding)]
	e.surveyWorkers(list, now)
	return list
}

// standing describes what the job waits for, and reports whether it has task groups that could run and of which none does.
func (e *Engine) standing(j *Job, now time.Time) (Standing, bool) {
	s := Standing{Job: j.ID(), Service: e.queue(j).Service, since: j.lastRan}
	if j.Record.Phase.Final() || j.Cancelled {
		return s, false
	}
	for _, occ := range j.occurrences {
		if occ.due.After(now) {
			continue
		}
		for step, groups := range occ.steps {
			if occ.unfinished[step] == 0 || !occ.dependenciesDone(step) {
				continue
			}
			for _, g := range groups {
				if g.record().Done {
					continue
				}
				if seen, runs := g.seenRunning(now); runs {
					j.lastRan = latest(j.lastRan, seen)
					return s, false
				}
				s.add(g, now)
			}
		}
	}
	s.Lasted = now.Sub(s.since)
	return s, s.Ready > 0
}

// seenRunning reports whether all living tasks of the group run on workers that answer, and when the last of these answered.
func (g *Group) seenRunning(now time.Time) (seen time.Time, runs bool) {
	if g.Run == nil || g.Run.stopReason != "" {
		return seen, false
	}
	for _, m := range g.Run.Members {
		if m.State == Ended {
			continue
		}
		if m.State != Started || m.Worker.silent(now) {
			return seen, false
		}
		seen = latest(seen, m.Worker.LastSeen)
	}
	return seen, true
}

// silent reports whether the worker has not answered for longer than it may take.
func (w *Worker) silent(now time.Time) bool { return now.Sub(w.LastSeen) > silentAfter }

// add counts a task group that could run and doesn't, and describes it if its state says more than those of the ones before.
func (s *Standing) add(g *Group, now time.Time) {
	s.Ready++
	state := describeGroup(g, now)
	s.since = latest(s.since, state.since)
	switch {
	case s.group != nil && state.State > s.State:
		return
	case s.group != nil && state.State == s.State:
		s.Same++
		return
	}
	s.group, s.Same, s.State = g, 1, state.State
	s.Task, s.Run, s.Worker, s.Remaining, s.Why = state.Task, state.Run, state.Worker, state.Remaining, state.Why
	s.Behind = g.occ.blockedSteps()
}

// blockedSteps counts the steps whose dependencies are not done.
func (occ *occurrence) blockedSteps() int {
	n := 0
	for step := range occ.steps {
		if !occ.dependenciesDone(step) {
			n++
		}
	}
	return n
}

// describeGroup describes what the task group waits for, and since when it does not run.
func describeGroup(g *Group, now time.Time) Standing {
	if g.Run != nil {
		return describeRun(g.Run, now)
	}
	s := Standing{State: StandsWithoutRoom, Task: g.taskName(0), Why: g.Job.Waiting, since: g.readyAt}
	switch {
	case g.reservation != nil:
		s.State, s.Remaining = StandsReserved, g.reservation.until.Sub(now)
	case g.hasFailed() && !g.mayRetryFailed(now):
		s.State, s.Remaining = StandsRetry, g.retryFailedAt.Sub(now)
	}
	return s
}

// describeRun describes the member that keeps the run from making progress.
func describeRun(run *Run, now time.Time) Standing {
	var s Standing
	for _, m := range run.Members {
		if m.State == Ended || m.State == Started && run.stopReason == "" && !m.Worker.silent(now) {
			continue
		}
		of := describeMember(m, now)
		if s.Task == "" || of.State < s.State || of.State == s.State && of.Remaining > s.Remaining {
			s = of
		}
	}
	return s
}

// describeMember describes why the member makes no progress.
func describeMember(m *Member, now time.Time) Standing {
	run, j := m.Run, m.Run.Group.Job
	s := Standing{Task: m.task, Run: run.Number, Worker: m.Worker.ID, Why: run.stopReason, since: run.PlannedAt}
	switch {
	case m.State == Planned && j.rejections > 0:
		s.State, s.Remaining = StandsRejected, max(j.rejectedUntil.Sub(now), 0)
	case m.State == Planned:
		s.State = StandsPlanned
	case m.mayRun() && m.Worker.silent(now):
		until, holder := m.Worker.heldUntil()
		s.State, s.Remaining, s.Why, s.since = StandsHeld, until.Sub(now), holder, latest(s.since, m.Worker.LastSeen)
	case run.stopReason != "":
		s.State = StandsStopping
	case m.State == Inherited:
		s.State = StandsInherited
	default:
		s.State = StandsOrdered
	}
	return s
}
