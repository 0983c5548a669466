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

	sets  []*Set
	turns []*turn
	// begun is true once any task was started.
	begun bool
	// waitKept is true while the key that counts the job as pending exists.
	waitKept bool
	// endedAt is when the job became final.
	endedAt time.Time
	// dirty is true from a change of the record until it is handed out to be made durable, inFlight from then on until that
	// has come to an end.
	dirty    bool
	inFlight bool
	// urgent is true if somebody waits for the record: a caller for the job's end, or a worker for a task.
	urgent bool
	// changes counts the changes of the record, durable those of them that are.
	changes int
	durable int
	// rules is what the configuration said about the job's queue at the last decision, chain the job's longest chain of work.
	rules Queue
	chain time.Duration
	// lasts is true if the job runs until it is cancelled.
	lasts bool
	// measured is true if a task's progress was measured since the last decision.
	measured bool
	// entitled is true while the job is within its workspace's guarantee.
	entitled bool
	tier     int
}

// turn is one run of all steps of a job.
type turn struct {
	job *Job
	// number counts from zero.
	number int
	// due is when the turn may start, on the engine's clock; for a job that runs at once it is when the job was accepted.
	due   time.Time
	steps [][]*Set
	// left is the number of sets not done, by step, and idle that of the sets among them without a run.
	left     []int
	idle     []int
	rank     float64
	lateness int
}

// over reports whether all sets are done.
func (t *turn) over() bool {
	return !slices.ContainsFunc(t.left, func(left int) bool { return left > 0 })
}

// ID returns the job's ID.
func (j *Job) ID() string { return j.Spec.Job }

// Set is a gang, or one task of a step without one.
type Set struct {
	Job  *Job
	Step int
	turn *turn
	// First is the index of the set's first task in the step, Count the number of its tasks.
	First int
	Count int
	Run   *Run

	index int
	// readyAt is when the set last became ready to run.
	readyAt time.Time
	claim   *claim
	// claimAgain is when the set may claim room again after a claim came to nothing, evictAgain when it is worth looking
	// again for others to stop, and reserveAgain for room that becomes free.
	claimAgain   time.Time
	evictAgain   time.Time
	reserveAgain time.Time
	// moves counts how often a run was given up since a worker had become slow.
	moves int
	// soured are workers that a run of the set failed on.
	soured []*Worker
}

// step returns the spec of the set's step.
func (s *Set) step() *work.Step { return &s.Job.Spec.Steps[s.Step] }

func (s *Set) record() *work.SetRecord { return &s.Job.Record.Sets[s.index] }

// room is what one task of the set needs.
func (s *Set) room() Room {
	step := s.step()
	return Room{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
}

// need is what all tasks of the set need together.
func (s *Set) need() Room { return s.room().Times(s.Count) }

// taskName is the name of the set's member i on the workers.
func (s *Set) taskName(i int) string {
	return fmt.Sprintf("%s.%d.%d.%d", s.Job.Spec.Job, s.turn.number, s.Step, s.First+i)
}

// Run is one start of a set.
type Run struct {
	Set     *Set
	Number  int
	Members []*Member
	Began   time.Time
	// from is the checkpoint that all members begin with.
	from string
	// stopping is why the run was told to stop, or empty.
	stopping string
	// broken is when the first member ended without success.
	broken time.Time
	alive  int
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
	Percent int
	task    string
	born    int64
	// orderedAt, startedAt and stoppedAt are when the start was released and when start and stop were acknowledged.
	orderedAt time.Time
	startedAt time.Time
	stoppedAt time.Time
	// sent is true once a start may have left.
	sent bool
	// stopSent is true once a stop was handed out.
	stopSent bool
	// movedAt is when Percent last changed.
	movedAt time.Time
	// rate is the progress last measured in percent a second, rateFresh until it was used; the next measurement began at
	// rateAt with ratePercent.
	rate        float64
	rateFresh   bool
	rateAt      time.Time
	ratePercent int
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
	j := &Job{Spec: spec, Accepted: now.Add(-age), waitKept: true, chain: spec.Chain(), lasts: spec.Lasts()}
	j.rules = e.queue(j)
	j.build(now, wall)
	e.jobs[spec.Job] = j
	e.keepOpen(j)
	if record == nil || len(record.Sets) != len(j.sets) {
		j.Record.Sets = make([]work.SetRecord, len(j.sets))
		e.touch(j)
	} else {
		j.Record = *record
		j.begun = record.Phase != work.Queued
		j.waitKept = !j.begun
		e.adopt(j, now)
	}
	if j.Record.Phase.Final() {
		j.endedAt = now
	}
	for _, s := range j.sets {
		s.readyAt = latest(now, s.turn.due)
	}
	return j
}

func (j *Job) build(now, wall time.Time) {
	for number := range j.Spec.Turns() {
		t := &turn{job: j, number: number, due: j.Accepted, steps: make([][]*Set, len(j.Spec.Steps)), left: make([]int, len(j.Spec.Steps)), idle: make([]int, len(j.Spec.Steps))}
		if r := j.Spec.Repeat; r != nil {
			t.due = now.Add(r.Start.Add(time.Duration(number) * r.Interval).Sub(wall))
		}
		j.turns = append(j.turns, t)
		for i := range j.Spec.Steps {
			t.build(i)
		}
	}
}

// build makes the sets of one step.
func (t *turn) build(i int) {
	step := &t.job.Spec.Steps[i]
	size, count := 1, step.Count
	if step.Gang {
		size, count = step.Count, 1
	}
	for n := range count {
		s := &Set{Job: t.job, Step: i, turn: t, First: n, Count: size, index: len(t.job.sets)}
		t.job.sets = append(t.job.sets, s)
		t.steps[i] = append(t.steps[i], s)
	}
	t.left[i], t.idle[i] = count, count
}

// adopt rebuilds the runs that an earlier owner may have started.
func (e *Engine) adopt(j *Job, now time.Time) {
	for _, s := range j.sets {
		rec := s.record()
		if rec.Done {
			s.turn.left[s.Step]--
		}
		if rec.Done || len(rec.On) == s.Count {
			s.turn.idle[s.Step]--
		}
		if len(rec.On) != s.Count {
			rec.On = nil
			continue
		}
		run := &Run{Set: s, Number: rec.Run, Began: now, alive: s.Count, from: rec.From}
		s.Run = run
		for i, id := range rec.On {
			w := e.workers[id]
			if w == nil {
				w = newWorker(WorkerInfo{ID: id}, now.Add(e.cfg.InheritedLease))
				w.Present = false
				e.addWorker(w)
			}
			m := &Member{Run: run, Worker: w, State: Inherited, task: s.taskName(i), movedAt: now}
			run.Members = append(run.Members, m)
			w.attach(m)
		}
	}
}

func (w *Worker) attach(m *Member) {
	w.members[runKey{m.task, m.Run.Number}] = m
	w.inOrder = nil
	w.Used = w.Used.Add(m.Run.Set.room())
	w.restock()
}

func (w *Worker) detach(m *Member) {
	delete(w.members, runKey{m.task, m.Run.Number})
	w.inOrder = nil
	w.Used = w.Used.Sub(m.Run.Set.room())
	w.restock()
}
