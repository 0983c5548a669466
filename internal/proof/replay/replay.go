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
	// leaseExpiryDelay is the time after which the leases of a lost worker have certainly expired.
	leaseExpiryDelay = 6 * time.Second
	// takeoverDelay is the time until another instance decides: the owner's lease must expire and the workers must be polled.
	takeoverDelay = 3500 * time.Millisecond
	// badWorkerFailDelay is the time after which a task fails on a bad worker.
	badWorkerFailDelay = 2 * time.Second
	// resubmitInterval is the interval of retries while the key-value store is down.
	resubmitInterval = time.Second
	// maxIdleDecisions is the number of decisions in a row without any action after which a replay ends.
	maxIdleDecisions = 200
)

// epoch is the absolute time at which a trace begins.
var epoch = time.Unix(0, 0).UTC()

// jobState is the simulated state of a job, which is hidden from the decision code.
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

// run is one attempt to run a job, from its start to its end.
type run struct {
	job       *jobState
	attempt   int
	workers   []int
	startedAt time.Duration
	pausedAt  time.Duration
	// diedAt is when the first of its workers was lost, or zero.
	diedAt   time.Duration
	stopping bool
}

// centreState is the state of a data centre apart from its workers. pendingReports are held back while it has no owner.
type centreState struct {
	ownerLost      bool
	storeCut       bool
	closed         bool
	pendingReports []func()
}

// sim is one replay of a trace under one policy.
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

// Result is the outcome of a replay: the report, the full log and the broken promises.
type Result struct {
	Report     Report
	Log        []check.Entry
	Violations []check.Violation
}

// Run replays the trace under the named policy; the clock serves only to measure how long decisions take.
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

// run processes the event queue until it is empty, the trace ends or nothing makes progress any longer.
func (s *sim) run() {
	for _, event := range s.trace.Events {
		s.queue.add(event.When(), func() { s.applyEvent(event) })
	}
	idleDecisions := 0
	for s.queue.Len() > 0 && !s.ended && idleDecisions < maxIdleDecisions {
		event := s.queue.next()
		s.metrics.advance(event.at)
		s.now = event.at
		event.do()
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

// decide executes the engine's decisions until there are none at this time, and reports whether there were any.
func (s *sim) decide() bool {
	acted := false
	for {
		began := s.clock()
		actions := s.engine.Decide(s.at())
		s.timer.Record(s.clock().Sub(began))
		s.decisions++
		for _, action := range actions {
			s.execute(action)
		}
		if len(actions) == 0 {
			break
		}
		acted = true
	}
	if next, ok := s.engine.NextDecision(s.at()); ok {
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

// scheduleEnd schedules the finish or the failure of a run.
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

// isCurrent reports whether the run is still the job's current one.
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

// hasDeadWorker reports whether a worker of the run is lost, in which case the run sends no report.
func (s *sim) hasDeadWorker(r *run) bool {
	for _, w := range r.workers {
		if s.dead[w] {
			return true
		}
	}
	return false
}

// reportToOwner delivers a report at once, or when the data centre has an owner again.
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
	s.record(check.Entry{Kind: check.StopAsked, Job: a.Job, Attempt: a.Attempt, Checkpoint: a.Checkpoint, Requester: requesterOf(a.Why), Why: a.Why})
	if !a.Checkpoint {
		s.halt(r, a.Why)
		return
	}
	r.stopping, r.pausedAt = true, s.now
	s.queue.add(s.now+j.submit.CheckpointTakes.Duration, func() { s.finishCheckpoint(r) })
}

// requesterOf returns the job for which a victim is stopped, parsed from the reason, or "" if there is none.
func requesterOf(why string) string {
	if job, ok := strings.CutPrefix(why, "gives way to "); ok {
		return job
	}
	return ""
}

// finishCheckpoint ends a run whose checkpoint is complete, with all progress saved.
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

// halt ends a run at once; it keeps only the progress up to the last periodic checkpoint.
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
