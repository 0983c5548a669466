package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Queue is the configuration of one queue of jobs.
type Queue struct {
	Name    string
	Service string
	// Priority orders the queues, 0 first; jobs of priority 0 may preempt the tasks of others.
	Priority int
	// MaxAttempts is how many runs of a task group may fail before the job fails.
	MaxAttempts int
	// Stretch and Target set the objective of a job: Stretch times its critical path, plus Target.
	Stretch float64
	Target  time.Duration
}

// Job is one accepted job.
type Job struct {
	Spec   *work.Spec
	Record work.Record
	// Accepted is when the job was accepted, on the engine's clock.
	Accepted time.Time
	// Cancelled is true once a caller has cancelled the job.
	Cancelled bool
	// Waiting is why a task group of the job waits for room, or empty.
	Waiting string

	account     *account
	groups      []*Group
	occurrences []*occurrence
	// begun is true once any task has started.
	begun bool
	// hasPendingKey is true while the key that counts the job as pending exists.
	hasPendingKey bool
	// endedAt is when the job ended.
	endedAt time.Time
	// dirty is true from a change of the record until Updates returns it, inFlight from then on until Committed or
	// Uncommitted is called.
	dirty    bool
	inFlight bool
	// headChanged is true if the job's own state has changed since Updates last returned it, changedGroups are the task groups whose
	// records have.
	headChanged   bool
	changedGroups []*Group
	// newParts are the first groups of parts, in ascending order, that are not durable yet; Record.Parts has the durable ones.
	newParts []int
	// dividing is true from the division of the record until it is durable.
	dividing bool
	// endDurable is true once the job's final phase is durable.
	endDurable bool
	// urgent is true if a caller is waiting for the record of the job's end, or a worker for that of a planned run.
	urgent bool
	// rejections counts the updates in a row that the store has rejected; the next one is not made before rejectedUntil.
	rejections    int
	rejectedUntil time.Time
	// changes counts the changes of the record, durableChanges those of them that are durable.
	changes        int
	durableChanges int
	// nextSuspectAt is when the next long-running task group that may have crashed several workers may begin.
	nextSuspectAt time.Time
	// outcomes has the last end of the job's tasks on each worker; failsAnywhere was determined at judgedAt.
	outcomes      map[*Worker]outcome
	judgedAt      time.Time
	failsAnywhere bool
	// queue is the configuration of the job's queue at the last decision, criticalPath the estimated time of the longest
	// chain of steps.
	queue        Queue
	criticalPath time.Duration
	// longRunning is true if any step of the job runs until the job is cancelled.
	longRunning bool
	// rateSampled is true if a task's progress rate was sampled since the last decision.
	rateSampled bool
	// standing is true if nothing of the job ran at standsAt, and no run was planned since.
	standing bool
	standsAt time.Time
	// withinGuarantee is true while the job is within its workspace's guarantee.
	withinGuarantee bool
	// tier orders jobs, the lowest first: 0 within the guarantee, else one more than the queue's priority.
	tier int
	// lastRan is when a task of the job was last known to run, for Standing.
	lastRan time.Time
}

// occurrence is one execution of all steps of a job; a job that does not repeat has one.
type occurrence struct {
	job *Job
	// number counts from zero.
	number int
	// due is when the occurrence may start, on the engine's clock; without repetition it is when the job was accepted.
	due   time.Time
	steps [][]*Group
	// unfinished is the number of task groups not done, by step, and withoutRun the number of those that have no run.
	unfinished []int
	withoutRun []int
	// rank orders the occurrences of equal tier and lateness, the lowest first; lateness is onTime, late or expired.
	rank     float64
	lateness int
}

// done reports whether all task groups are done.
func (occ *occurrence) done() bool {
	return !slices.ContainsFunc(occ.unfinished, func(unfinished int) bool { return unfinished > 0 })
}

// Queue returns the configuration of the job's queue as of the last decision.
func (j *Job) Queue() Queue { return j.queue }

// ID returns the job's ID.
func (j *Job) ID() string { return j.Spec.Job }

// Group is a task group, which is placed, started and stopped as a whole: a gang, or one task of a step without one.
type Group struct {
	Job  *Job
	Step int
	occ  *occurrence
	// FirstTask is the index of the group's first task in the step, Count the number of its tasks.
	FirstTask int
	Count     int
	Run       *Run

	recordIndex int
	// changed is true while the group is among the job's changedGroups.
	changed bool
	// readyAt is when the group last became ready to run.
	readyAt     time.Time
	reservation *reservation
	// nextReservationAt is when the group may reserve room again after a reservation was given up; nextPreemptionAt and
	// nextBackfillAt are when another search is worthwhile for work to preempt and for room that becomes free.
	nextReservationAt time.Time
	nextPreemptionAt  time.Time
	nextBackfillAt    time.Time
	// nextCapPreemptionAt is when other runs of the workspace may be stopped for the group again, as the workspace is at its cap.
	nextCapPreemptionAt time.Time
	// slowWorkerMoves counts the runs that were stopped because a worker had become slow.
	slowWorkerMoves int
	// retryFailedAt is from when on the group returns to workers on which a run of it failed, if there is no room elsewhere.
	retryFailedAt time.Time
}

// step returns the spec of the group's step.
func (g *Group) step() *work.Step { return &g.Job.Spec.Steps[g.Step] }

func (g *Group) record() *work.GroupRecord { return &g.Job.Record.Groups[g.recordIndex] }

// taskNeed is the room that one task of the group needs.
func (g *Group) taskNeed() Resources {
	step := g.step()
	return Resources{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
}

// totalNeed is the room that all tasks of the group need together.
func (g *Group) totalNeed() Resources { return g.taskNeed().Times(g.Count) }

// taskName is the name of the group's member i on the workers.
func (g *Group) taskName(i int) string {
	return fmt.Sprintf("%s.%d.%d.%d", g.Job.Spec.Job, g.occ.number, g.Step, g.FirstTask+i)
}

// Run is one attempt to run a task group.
type Run struct {
	Group   *Group
	Number  int
	Members []*Member
	// PlannedAt is when the run was planned, or when this owner loaded it from the ledger.
	PlannedAt time.Time
	// checkpoint is the checkpoint from which all members start, or empty.
	checkpoint string
	// stopReason is why the run is being stopped, or empty.
	stopReason string
	// onProbation is true while nothing else is placed on the workers of the run, as its group is suspected of a crash.
	onProbation bool
	// brokenAt is when the first member ended without success.
	brokenAt     time.Time
	aliveMembers int
}

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=MemberState,ExitStatus -transform=title-lower -output=enums_enumer.go

// MemberState is the state of one task of a run.
type MemberState int

// The states of a member. A Planned member's intent record is not durable yet, and no worker has been sent its start.
const (
	Planned MemberState = iota
	// Inherited members were started by an earlier owner or about to be; the worker has not been polled for them yet.
	Inherited
	Ordered
	Started
	Ended
)

// ExitStatus is the terminal status of a member.
type ExitStatus int

// The terminal statuses. A Void member certainly never ran; a Lost one was killed or forgotten by its worker.
const (
	Done ExitStatus = iota
	Failed
	Stopped
	Lapsed
	Broken
	Alone
	Void
	Lost
)

// broken reports whether a member has ended without success, under this owner or, as the record of a failure shows, an earlier one.
func (r *Run) broken() bool {
	return !r.brokenAt.IsZero() || r.Group.record().FailedRun == r.Number
}

// Member is one task of a run, on one worker.
type Member struct {
	Run    *Run
	Worker *Worker
	State  MemberState
	// Percent is the progress last reported.
	Percent int
	task    string
	// target is the incarnation of the worker to which the start is sent, or which has listed the member since; zero if it is unknown.
	target int64
	// incarnation is that of the worker whose listing showed the member; zero until one has.
	incarnation int64
	// restarted is true if the worker has restarted since it confirmed the start, and its present incarnation has not listed
	// the member; crash is what the crash says of the member.
	restarted bool
	crash     crashEvidence
	// orderedAt is when the start was ordered; startAckedAt and stopAckedAt are when the worker acknowledged start and stop.
	orderedAt    time.Time
	startAckedAt time.Time
	stopAckedAt  time.Time
	// startSent is true once the start may have been sent, startUnanswered once a start has had no response: it may have been
	// executed, or may still be, also by a later incarnation of the worker.
	startSent       bool
	startUnanswered bool
	// stopSent is true once a stop was ordered.
	stopSent bool
	// heldReported is true once RunHeld was logged, until the worker answers again.
	heldReported bool
	// missing is true if the worker's listing did not show the inherited member.
	missing bool
	// settledAt is when a stop by an earlier owner has certainly taken effect; zero for members that this owner started.
	settledAt time.Time
	// progressedAt is when Percent last changed.
	progressedAt time.Time
	// rate is the last measured progress in percent per second, and rateUnused is true until it was used; the next
	// measurement began at sampleStartedAt with sampleStartPercent.
	rate               float64
	rateUnused         bool
	sampleStartedAt    time.Time
	sampleStartPercent int
	// placedSpeed is the speed of the worker that was known when the run was placed, or taken over by this owner.
	placedSpeed workerSpeed
}

// Task returns the member's name on the worker.
func (m *Member) Task() string { return m.task }

// StartWanted reports whether the start should still be sent; the end of one member of a gang as done represents all.
func (m *Member) StartWanted() bool {
	return m.State == Ordered && !m.stopSent && !m.Run.Group.record().Done
}

// Load adds a job from the ledger, or returns it if it is already loaded; record is nil for a job that no owner has seen.
// age is the time since the job was accepted, and wall the wall-clock time at now, which only repeating jobs need.
func (e *Engine) Load(spec *work.Spec, record *work.Record, age time.Duration, now, wall time.Time) *Job {
	if j := e.jobs[spec.Job]; j != nil {
		return j
	}
	j := &Job{Spec: spec, Accepted: now.Add(-age), hasPendingKey: true, criticalPath: spec.CriticalPath(), longRunning: spec.LongRunning()}
	j.queue = e.queue(j)
	e.adoptCap(j)
	j.account = e.account(spec.Workspace)
	j.buildOccurrences(now, wall)
	e.jobs[spec.Job] = j
	e.insertOpen(j)
	if record == nil || len(record.Groups) != len(j.groups) {
		j.Record.Groups = make([]work.GroupRecord, len(j.groups))
		e.markChanged(j)
	} else {
		j.Record = *record
		j.begun = record.Phase != work.Queued
		j.hasPendingKey = !j.begun
		e.adopt(j, now)
	}
	if j.Record.Phase.Final() {
		j.endedAt, j.endDurable = now, true
	}
	for _, g := range j.groups {
		g.readyAt = latest(now, g.occ.due)
		if g.hasFailed() {
			// When the last failure was is not on record, and earlier owners may have waited too.
			g.retryFailedAt = now.Add(min(e.failureDelay(g), overdueDelay))
		}
	}
	return j
}

func (j *Job) buildOccurrences(now, wall time.Time) {
	for number := range j.Spec.Occurrences() {
		occ := &occurrence{job: j, number: number, due: j.Accepted, steps: make([][]*Group, len(j.Spec.Steps)), unfinished: make([]int, len(j.Spec.Steps)), withoutRun: make([]int, len(j.Spec.Steps))}
		if r := j.Spec.Repeat; r != nil {
			occ.due = now.Add(r.Start.Add(time.Duration(number) * r.Interval).Sub(wall))
		}
		j.occurrences = append(j.occurrences, occ)
		for i := range j.Spec.Steps {
			occ.buildStep(i)
		}
	}
}

// buildStep creates the task groups of one step.
func (occ *occurrence) buildStep(i int) {
	step := &occ.job.Spec.Steps[i]
	size, count := 1, step.Count
	if step.Gang {
		size, count = step.Count, 1
	}
	for n := range count {
		g := &Group{Job: occ.job, Step: i, occ: occ, FirstTask: n, Count: size, recordIndex: len(occ.job.groups)}
		occ.job.groups = append(occ.job.groups, g)
		occ.steps[i] = append(occ.steps[i], g)
	}
	occ.unfinished[i], occ.withoutRun[i] = count, count
}

// adopt rebuilds the runs that an earlier owner may have started.
func (e *Engine) adopt(j *Job, now time.Time) {
	for _, g := range j.groups {
		rec := g.record()
		if rec.Done {
			g.occ.unfinished[g.Step]--
		}
		if rec.Done || len(rec.Workers) == g.Count {
			g.occ.withoutRun[g.Step]--
		}
		if len(rec.Workers) != g.Count {
			rec.Workers, rec.Incarnations = nil, nil
			continue
		}
		run := &Run{Group: g, Number: rec.Run, PlannedAt: now, aliveMembers: g.Count, checkpoint: rec.StartedFrom}
		g.Run = run
		for i, id := range rec.Workers {
			w := e.workers[id]
			if w == nil {
				w = newWorker(WorkerInfo{ID: id}, earliestKnown(now.Add(e.cfg.InheritedLease), e.inherited.of(id)))
				w.Listed = false
				e.addWorker(w)
			}
			m := &Member{Run: run, Worker: w, State: Inherited, task: g.taskName(i), target: rec.IncarnationOf(i), progressedAt: now, placedSpeed: w.speed}
			run.Members = append(run.Members, m)
			w.attach(m)
		}
		if g.suspected() {
			run.beginProbation()
		}
	}
}

func (w *Worker) attach(m *Member) {
	w.members[runKey{m.task, m.Run.Number}] = m
	w.memberCache = nil
	w.Used = w.Used.Add(m.Run.Group.taskNeed())
	m.Run.Group.Job.account.used = m.Run.Group.Job.account.used.Add(m.Run.Group.taskNeed())
	w.reindex()
}

func (w *Worker) detach(m *Member) {
	delete(w.members, runKey{m.task, m.Run.Number})
	w.memberCache = nil
	w.Used = w.Used.Sub(m.Run.Group.taskNeed())
	m.Run.Group.Job.account.used = m.Run.Group.Job.account.used.Sub(m.Run.Group.taskNeed())
	w.reindex()
}
