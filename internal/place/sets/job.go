package sets

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Queue is what the configuration says about one kind of job.
type Queue struct {
	Name    string
	Service string
	// Priority 0 comes first and may stop the tasks of others.
	Priority int
	// MaxAttempts is how many runs of a set may fail before the job fails.
	MaxAttempts int
	// Stretch times the longest chain of a job, and Target more, is the time in which it should be completed.
	Stretch float64
	Target  time.Duration
}

// Job is one accepted job.
type Job struct {
	Spec   *work.Spec
	Record work.Record
	// Accepted is on the engine's clock.
	Accepted time.Time
	// Cancelled is true once a caller has asked for it.
	Cancelled bool
	// Waiting says why the job has nothing running.
	Waiting string

	groups      []*Group
	occurrences []*occurrence
	// begun is true once any task was started.
	begun bool
	// waitKept is true while the key that counts the job as pending exists.
	hasPendingKey bool
	// endedAt is when the job became final.
	endedAt time.Time
	// dirty is true from a change of the record until it is handed out to be made durable, inFlight from then on until that
	// has come to an end.
	dirty    bool
	inFlight bool
	// urgent is true if somebody waits for the record: a caller for the job's end, or a worker for a task.
	urgent bool
	// changes counts the changes of the record, durable those of them that are.
	changes        int
	durableChanges int
	// rules is what the configuration said about the job's queue at the last decision, chain the job's longest chain of work.
	queue        Queue
	criticalPath time.Duration
	// lasts is true if the job runs until it is cancelled.
	longRunning bool
	// measured is true if a task's progress was measured since the last decision.
	rateSampled bool
	// entitled is true while the job is within its workspace's guarantee.
	withinGuarantee bool
	tier            int
}

// turn is one run of all steps of a job.
type occurrence struct {
	job *Job
	// number counts from zero.
	number int
	// due is when the turn may start, on the engine's clock; for a job that runs at once it is when the job was accepted.
	due   time.Time
	steps [][]*Group
	// left is the number of sets not done, by step, and idle that of the sets among them without a run.
	unfinished []int
	withoutRun []int
	rank       float64
	lateness   int
}

// over reports whether all sets are done.
func (occ *occurrence) done() bool {
	return !slices.ContainsFunc(occ.unfinished, func(unfinished int) bool { return unfinished > 0 })
}

// ID returns the job's ID.
func (j *Job) ID() string { return j.Spec.Job }

// Group is a gang, or one task of a step without one.
type Group struct {
	Job  *Job
	Step int
	occ  *occurrence
	// First is the index of the set's first task in the step, Count the number of its tasks.
	FirstTask int
	Count     int
	Run       *Run

	recordIndex int
	// readyAt is when the set last became ready to run.
	readyAt     time.Time
	reservation *reservation
	// claimAgain is when the set may claim room again after a claim came to nothing, evictAgain when it is worth looking
	// again for others to stop, and reserveAgain for room that becomes free.
	nextReservationAt time.Time
	nextPreemptionAt  time.Time
	nextBackfillAt    time.Time
	// moves counts how often a run was given up since a worker had become slow.
	slowWorkerMoves int
	// soured are workers that a run of the set failed on.
	failedOn []*Worker
}

// step returns the spec of the set's step.
func (g *Group) step() *work.Step { return &g.Job.Spec.Steps[g.Step] }

func (g *Group) record() *work.SetRecord { return &g.Job.Record.Sets[g.recordIndex] }

// room is what one task of the set needs.
func (g *Group) taskNeed() Room {
	step := g.step()
	return Room{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
}

// need is what all tasks of the set need together.
func (g *Group) totalNeed() Room { return g.taskNeed().Times(g.Count) }

// taskName is the name of the set's member i on the workers.
func (g *Group) taskName(i int) string {
	return fmt.Sprintf("%s.%d.%d.%d", g.Job.Spec.Job, g.occ.number, g.Step, g.FirstTask+i)
}

// Run is one start of a set.
type Run struct {
	Group     *Group
	Number    int
	Members   []*Member
	PlannedAt time.Time
	// from is the checkpoint that all members begin with.
	checkpoint string
	// stopping is why the run was told to stop, or empty.
	stopReason string
	// broken is when the first member ended without success.
	brokenAt     time.Time
	aliveMembers int
}

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=MemberState,How -transform=title-lower -output=enums_enumer.go

// MemberState is where one task of a run is.
type MemberState int

// The states. Until its intent is recorded a member is Planned and no worker knows of it.
const (
	Planned MemberState = iota
	// Inherited members were started or about to be by an earlier owner; the worker has not been asked yet.
	Inherited
	Ordered
	Started
	Ended
)

// How says how a member ended.
type How int

// The ways to end. Void members certainly never ran; Lost ones were killed or forgotten by their worker.
const (
	Done How = iota
	Failed
	Stopped
	Lapsed
	Broken
	Alone
	Void
	Lost
)

// Member is one task of a run.
type Member struct {
	Run    *Run
	Worker *Worker
	State  MemberState
	// Percent is the progress last reported.
	Percent     int
	task        string
	incarnation int64
	// orderedAt, startedAt and stoppedAt are when the start was released and when start and stop were acknowledged.
	orderedAt    time.Time
	startAckedAt time.Time
	stopAckedAt  time.Time
	// sent is true once a start may have left.
	startSent bool
	// stopSent is true once a stop was handed out.
	stopSent bool
	// movedAt is when Percent last changed.
	progressedAt time.Time
	// rate is the progress last measured in percent a second, rateFresh until it was used; the next measurement began at
	// rateAt with ratePercent.
	rate               float64
	rateUnused         bool
	sampleStartedAt    time.Time
	sampleStartPercent int
}

// Task returns the member's name on the worker.
func (m *Member) Task() string { return m.task }

// Wanted reports whether the start should still be sent.
func (m *Member) Wanted() bool { return m.State == Ordered && !m.stopSent }

// Load takes in a job as the ledger has it; record is nil for a job that no owner has seen.
// wall is the time of day that belongs to now; only jobs with turns need it.
func (e *Engine) Load(spec *work.Spec, record *work.Record, age time.Duration, now, wall time.Time) *Job {
	if j := e.jobs[spec.Job]; j != nil {
		return j
	}
	j := &Job{Spec: spec, Accepted: now.Add(-age), hasPendingKey: true, criticalPath: spec.Chain(), longRunning: spec.Lasts()}
	j.queue = e.queue(j)
	j.buildOccurrences(now, wall)
	e.jobs[spec.Job] = j
	e.insertOpen(j)
	if record == nil || len(record.Sets) != len(j.groups) {
		j.Record.Sets = make([]work.SetRecord, len(j.groups))
		e.markChanged(j)
	} else {
		j.Record = *record
		j.begun = record.Phase != work.Queued
		j.hasPendingKey = !j.begun
		e.adopt(j, now)
	}
	if j.Record.Phase.Final() {
		j.endedAt = now
	}
	for _, g := range j.groups {
		g.readyAt = latest(now, g.occ.due)
	}
	return j
}

func (j *Job) buildOccurrences(now, wall time.Time) {
	for number := range j.Spec.Turns() {
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

// build makes the sets of one step.
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
		if rec.Done || len(rec.On) == g.Count {
			g.occ.withoutRun[g.Step]--
		}
		if len(rec.On) != g.Count {
			rec.On = nil
			continue
		}
		run := &Run{Group: g, Number: rec.Run, PlannedAt: now, aliveMembers: g.Count, checkpoint: rec.From}
		g.Run = run
		for i, id := range rec.On {
			w := e.workers[id]
			if w == nil {
				w = newWorker(WorkerInfo{ID: id}, now.Add(e.cfg.InheritedLease))
				w.Present = false
				e.addWorker(w)
			}
			m := &Member{Run: run, Worker: w, State: Inherited, task: g.taskName(i), progressedAt: now}
			run.Members = append(run.Members, m)
			w.attach(m)
		}
	}
}

func (w *Worker) attach(m *Member) {
	w.members[runKey{m.task, m.Run.Number}] = m
	w.memberCache = nil
	w.Used = w.Used.Add(m.Run.Group.taskNeed())
	w.reindex()
}

func (w *Worker) detach(m *Member) {
	delete(w.members, runKey{m.task, m.Run.Number})
	w.memberCache = nil
	w.Used = w.Used.Sub(m.Run.Group.taskNeed())
	w.reindex()
}
