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
	// StandsRetry means that the task group keeps away from the workers on which it failed, or that it is long-running and may have
	// crashed several.
	StandsRetry
	// StandsReserved means that room is reserved for the task group and not free yet.
	StandsReserved
	// StandsCapped means that the workspace may not have more running.
	StandsCapped
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
	// Task is the task that is waited for, the first one of a task group without a run; Run is its present run, or zero.
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

	group  *Group
	member *Member
	since  time.Time
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
	for i := range list {
		list[i].describe()
	}
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
	o := g.obstacle(now)
	s.since = latest(s.since, o.since)
	switch {
	case s.group != nil && o.state > s.State:
		return
	case s.group != nil && o.state == s.State:
		s.Same++
		return
	}
	s.group, s.member, s.Same = g, o.member, 1
	s.State, s.Remaining, s.Why = o.state, o.remaining, o.why
}

// describe adds what is only needed of the jobs that Standing returns.
func (s *Standing) describe() {
	s.Task, s.Behind = s.group.taskName(0), s.group.occ.blockedSteps()
	if m := s.member; m != nil {
		s.Task, s.Run, s.Worker = m.task, m.Run.Number, m.Worker.ID
	}
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

// obstacle is what keeps a task group from running.
type obstacle struct {
	state StandingState
	// member is the one concerned if the group has a run.
	member    *Member
	since     time.Time
	remaining time.Duration
	why       string
}

// obstacle returns what keeps the group, which does not run, from running.
func (g *Group) obstacle(now time.Time) obstacle {
	switch {
	case g.Run != nil:
		return g.Run.obstacle(now)
	case g.reservation != nil:
		return obstacle{state: StandsReserved, since: g.readyAt, remaining: g.reservation.until.Sub(now), why: g.Job.Waiting}
	case g.hasFailed() && !g.mayRetryFailed(now):
		return obstacle{state: StandsRetry, since: g.readyAt, remaining: g.retryFailedAt.Sub(now), why: g.Job.Waiting}
	case g.heldAsSuspect(now):
		return obstacle{state: StandsRetry, since: g.readyAt, remaining: g.Job.nextSuspectAt.Sub(now), why: "it may have crashed several workers"}
	case !g.Job.account.promised().Add(g.totalNeed()).within(g.Job.account.Cap):
		return obstacle{state: StandsCapped, since: g.readyAt, why: g.Job.Waiting}
	default:
		return obstacle{state: StandsWithoutRoom, since: g.readyAt, why: g.Job.Waiting}
	}
}

// obstacle returns the obstacle of the member that keeps the run from making progress.
func (r *Run) obstacle(now time.Time) (first obstacle) {
	for _, m := range r.Members {
		if m.State == Ended || m.State == Started && r.stopReason == "" && !m.Worker.silent(now) {
			continue
		}
		o := m.obstacle(now)
		if first.member == nil || o.state < first.state || o.state == first.state && o.remaining > first.remaining {
			first = o
		}
	}
	return first
}

// obstacle returns what keeps the member from making progress.
func (m *Member) obstacle(now time.Time) obstacle {
	o := obstacle{member: m, since: m.Run.PlannedAt, why: m.Run.stopReason}
	switch {
	case m.State == Planned && m.Run.Group.Job.rejections > 0:
		o.state, o.remaining = StandsRejected, max(m.Run.Group.Job.rejectedUntil.Sub(now), 0)
	case m.State == Planned:
		o.state = StandsPlanned
	case m.mayRun() && m.Worker.silent(now):
		until, holder := m.Worker.heldUntil()
		o.state, o.remaining, o.why, o.since = StandsHeld, until.Sub(now), holder, latest(o.since, m.Worker.LastSeen)
	case m.Run.stopReason != "":
		o.state = StandsStopping
	case m.State == Inherited:
		o.state = StandsInherited
	default:
		o.state = StandsOrdered
	}
	return o
}
