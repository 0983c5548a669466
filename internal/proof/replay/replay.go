package replay

import (
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/proof/check"
	"github.com/lentildeck/lentildeck/internal/proof/trace"
)

const (
	// leaseLapse is how long it takes until the leases of a lost worker have surely lapsed.
	leaseExpiryDelay = 6 * time.Second
	// takeover is how long it takes until another instance decides: the owner's lease, and hearing from the workers.
	takeoverDelay = 3500 * time.Millisecond
	// badWorkerFails is how long a task runs on a bad worker.
	badWorkerFailDelay = 2 * time.Second
	// resubmitEvery is how often a submitter repeats what was refused for want of the key-value service.
	resubmitInterval = time.Second
	// idleLooks is how many fruitless looks in a row end a replay.
	maxIdleDecisions = 200
)

// epoch is what the time since the beginning is added to.
var epoch = time.Unix(0, 0).UTC()

// jobState is the truth about a job that the decisions do not see.
type jobState struct {
	submit     *trace.Submit
	saved      time.Duration
	run        *run
	doneAt     time.Duration
	outcome    queue.Outcome
	refused    bool
	started    bool
	firstStart time.Duration
}

// run is one stretch of work between a start and its end.
type run struct {
	job       *jobState
	attempt   int
	workers   []int
	startedAt time.Duration
	pausedAt  time.Duration
	// died is when the first of its workers was lost.
	diedAt   time.Duration
	stopping bool
}

// centreState is what a data centre can do apart from its workers.
type centreState struct {
	ownerLost      bool
	storeCut       bool
	closed         bool
	pendingReports []func()
}

// sim is one replay under one policy.
type sim struct {
	trace     *trace.Trace
	engine    *engine.Engine
	now       time.Duration
	queue     eventQueue
	jobs      map[string]*jobState
	jobOrder  []*jobState
	centres   []centreState
	bad       map[int]bool
	dead      map[int]bool
	storeUp   bool
	log       []check.Entry
	metrics   metrics
	clock     func() time.Time
	timer     *meter.Timer
	ended     bool
	decisions int
}

// Result is everything a replay found out.
type Result struct {
	Report     Report
	Log        []check.Entry
	Violations []check.Violation
}

// Run replays the trace under the named policy; clock only measures how long decisions take.
func Run(t *trace.Trace, policyName string, clock func() time.Time) (Result, error) {
	policy, err := engine.Policies.Lookup(policyName)
	if err != nil {
		return Result{}, err
	}
	e, err := engine.New(engine.Config{
		DataCentres: t.Header.DataCentres, Workspaces: t.Header.Workspaces, Policy: policy, Seed: t.Header.Seed,
	})
	if err != nil {
		return Result{}, err
	}
	s := &sim{
		trace: t, engine: e, jobs: make(map[string]*jobState), centres: make([]centreState, len(t.Header.DataCentres)),
		bad: make(map[int]bool), dead: make(map[int]bool), storeUp: true, clock: clock, timer: meter.NewTimer(),
	}
	s.metrics = newMetrics(s)
	s.run()
	checker := check.Run(t, s.log)
	return Result{Report: s.report(policyName, checker), Log: s.log, Violations: checker.Violations}, nil
}

func (s *sim) at() time.Time { return epoch.Add(s.now) }

func (s *sim) record(e check.Entry) {
	e.At = s.now
	s.log = append(s.log, e)
}

// play runs the agenda until nothing can make progress any more.
func (s *sim) run() {
	for _, event := range s.trace.Events {
		s.queue.add(event.When(), func() { s.applyEvent(event) })
	}
	idleDecisions := 0
	for s.queue.Len() > 0 && !s.ended && idleDecisions < maxIdleDecisions {
		d := s.queue.next()
		s.metrics.advance(d.at)
		s.now = d.at
		d.do()
		for s.queue.Len() > 0 && s.queue.items[0].at == s.now && !s.ended {
			s.queue.next().do()
		}
		acted := s.decide()
		idleDecisions++
		if acted || s.queue.busy > 0 {
			idleDecisions = 0
		}
	}
	s.metrics.close()
	for _, j := range s.jobOrder {
		if !j.refused && j.outcome == queue.OutcomeNone && s.engine.Job(j.submit.Job) != nil {
			s.record(check.Entry{Kind: check.Left, Job: j.submit.Job})
		}
	}
}

// decide lets the engine decide until it has no more to do at this time; it reports whether it did anything.
func (s *sim) decide() bool {
	acted := false
	for {
		began := s.clock()
		actions := s.engine.Decide(s.at())
		s.timer.Add(s.clock().Sub(began))
		s.decisions++
		for _, action := range actions {
			s.execute(action)
		}
		if len(actions) == 0 {
			break
		}
		acted = true
	}
	if next, ok := s.engine.NextWake(s.at()); ok {
		s.queue.addIdle(next.Sub(epoch))
	}
	return acted
}

func (s *sim) execute(action engine.Action) {
	switch a := action.(type) {
	case engine.Start:
		s.start(a)
	case engine.Stop:
		s.stop(a)
	case engine.End:
		s.end(s.jobs[a.Job], a.Outcome, a.Why)
	}
}

func (s *sim) start(a engine.Start) {
	j := s.jobs[a.Job]
	r := &run{job: j, attempt: a.Attempt, workers: a.Workers, startedAt: s.now}
	j.run = r
	if !j.started {
		j.started, j.firstStart = true, s.now
	}
	s.record(check.Entry{Kind: check.Started, Job: a.Job, Attempt: a.Attempt, Workers: s.engine.Fleet.Names(a.Workers), Centre: s.centreName(a.Workers), Why: a.Why})
	s.scheduleEnd(r)
}

func (s *sim) centreName(workers []int) string {
	return s.engine.Fleet.DataCentres[s.engine.Fleet.Workers[workers[0]].DataCentre].Name
}

// plan puts the end of a run on the agenda.
func (s *sim) scheduleEnd(r *run) {
	j := r.job
	remaining := j.submit.Actual.Duration - j.saved
	failsAfter, failsOn := time.Duration(0), r.workers[0]
	if j.submit.FailsAfter.Duration > 0 {
		failsAfter = j.submit.FailsAfter.Duration
	}
	for _, w := range r.workers {
		if s.bad[w] {
			failsAfter, failsOn = badWorkerFailDelay, w
			break
		}
	}
	if failsAfter > 0 && failsAfter < remaining {
		s.queue.add(s.now+failsAfter, func() { s.fail(r, failsOn) })
		return
	}
	s.queue.add(s.now+remaining, func() { s.finish(r) })
}

// live reports whether the run still goes on.
func (r *run) isCurrent() bool { return r.job.run == r }

func (s *sim) finish(r *run) {
	if !r.isCurrent() || r.stopping || s.hasDeadWorker(r) {
		return
	}
	s.reportToOwner(r, func() {
		if !r.isCurrent() {
			return
		}
		s.metrics.addSegment(r, s.now, s.now-r.startedAt)
		r.job.run = nil
		r.job.doneAt, r.job.outcome = s.now, queue.Finished
		s.record(check.Entry{Kind: check.Finished, Job: r.job.submit.Job, Attempt: r.attempt})
		s.engine.Finished(r.job.submit.Job, s.at())
	})
}

func (s *sim) fail(r *run, on int) {
	if !r.isCurrent() || r.stopping || s.hasDeadWorker(r) {
		return
	}
	s.reportToOwner(r, func() {
		if r.isCurrent() {
			s.engine.Failed(r.job.submit.Job, on, s.at())
		}
	})
}

// deadRun reports whether a worker of the run is gone, so that no report comes from it.
func (s *sim) hasDeadWorker(r *run) bool {
	for _, w := range r.workers {
		if s.dead[w] {
			return true
		}
	}
	return false
}

// toOwner delivers a report now, or keeps it with the worker until somebody decides for the data centre again.
func (s *sim) reportToOwner(r *run, report func()) {
	c := &s.centres[s.engine.Fleet.Workers[r.workers[0]].DataCentre]
	if c.ownerLost {
		c.pendingReports = append(c.pendingReports, report)
		return
	}
	report()
}

func (s *sim) stop(a engine.Stop) {
	j := s.jobs[a.Job]
	r := j.run
	if r == nil || r.stopping {
		if r != nil && !a.Checkpoint {
			s.halt(r, a.Why)
		}
		return
	}
	s.record(check.Entry{Kind: check.StopAsked, Job: a.Job, Attempt: a.Attempt, Checkpoint: a.Checkpoint, For: requesterOf(a.Why), Why: a.Why})
	if !a.Checkpoint {
		s.halt(r, a.Why)
		return
	}
	r.stopping, r.pausedAt = true, s.now
	s.queue.add(s.now+j.submit.CheckpointTakes.Duration, func() { s.finishCheckpoint(r) })
}

// claimantOf reads from the reason for which job a victim gives way.
func requesterOf(why string) string {
	if job, ok := strings.CutPrefix(why, "gives way to "); ok {
		return job
	}
	return ""
}

// checkpointed ends a run whose progress is saved whole.
func (s *sim) finishCheckpoint(r *run) {
	if !r.isCurrent() || s.hasDeadWorker(r) {
		return
	}
	s.reportToOwner(r, func() {
		if !r.isCurrent() {
			return
		}
		kept := r.pausedAt - r.startedAt
		s.metrics.addSegment(r, r.pausedAt, kept)
		r.job.saved += kept
		r.job.run = nil
		s.record(check.Entry{Kind: check.Halted, Job: r.job.submit.Job, Attempt: r.attempt, Checkpoint: true})
		s.engine.Stopped(r.job.submit.Job, r.job.saved, s.at())
	})
}

// halt ends a run at once; what the last periodic checkpoint saved is kept.
func (s *sim) halt(r *run, why string) {
	until := s.now
	if r.stopping {
		until = r.pausedAt
	}
	if r.diedAt > 0 {
		until = min(until, r.diedAt)
	}
	ran := until - r.startedAt
	kept := time.Duration(0)
	if every := r.job.submit.CheckpointEvery.Duration; every > 0 {
		kept = ran.Truncate(every)
	}
	s.metrics.addSegment(r, until, kept)
	r.job.saved += kept
	r.job.run = nil
	s.record(check.Entry{Kind: check.Halted, Job: r.job.submit.Job, Attempt: r.attempt, Why: why})
	s.engine.Stopped(r.job.submit.Job, r.job.saved, s.at())
}

func (s *sim) end(j *jobState, outcome queue.Outcome, why string) {
	j.outcome, j.doneAt = outcome, s.now
	s.record(check.Entry{Kind: check.Ended, Job: j.submit.Job, Why: outcome.String() + ": " + why})
}
