package group

import (
	"slices"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Config holds the engine's timeouts and limits.
type Config struct {
	// SeenWithin is the maximum time since a worker's last response for it to get new tasks.
	SeenWithin time.Duration
	// InheritedLease is the longest lease that an earlier owner may have left on a worker of which nothing else is known.
	InheritedLease time.Duration
	// StopTimeout is the maximum time that a worker takes to stop a task.
	StopTimeout time.Duration
	// StartTimeout is how long a start may remain unanswered before the run is stopped.
	StartTimeout time.Duration
	// SuspectStartTimeout is the same for a suspect worker: one that has not responded since an order to it, or to its data
	// centre, was left unanswered.
	SuspectStartTimeout time.Duration
	// SuspectInterval is the minimum time before a worker is marked as suspect again.
	SuspectInterval time.Duration
	// HangTimeout is how long a task may make no progress before its run is stopped and placed again.
	HangTimeout time.Duration
	// RemoteFactor is how many times longer a task takes away from its data.
	RemoteFactor float64
	// Retention is how long a job is kept after its end.
	Retention time.Duration
	// RefusalPause is how long a worker gets no new tasks after each kind of refused start.
	RefusalPause map[StartResult]time.Duration
	// FailuresBeforePause is how many distinct task groups must fail on a worker before it gets no new tasks for
	// RepeatedFailurePause.
	FailuresBeforePause  int
	RepeatedFailurePause time.Duration
	// FirstFailurePause is the pause after a single failure, and EarlyFailurePause the one after a failure within
	// EarlyFailureWindow of the start, which is more often the worker's fault than the job's.
	FirstFailurePause  time.Duration
	EarlyFailurePause  time.Duration
	EarlyFailureWindow time.Duration
	// QuickRackShare is the share of the racks that are set aside for jobs of priority 0; tasks whose data is in such a rack
	// and long-running tasks may use it too.
	QuickRackShare float64
}

// DefaultConfig returns timeouts and limits for leases of a few seconds.
func DefaultConfig() Config {
	return Config{
		// Two polls of an idle worker.
		SeenWithin:     4 * time.Second,
		InheritedLease: 15 * time.Second,
		StopTimeout:    900 * time.Millisecond,
		// Half of the shortest time after which members of a gang give up waiting for the others.
		StartTimeout: 1500 * time.Millisecond,
		// Many round trips; the other members of a gang wait meanwhile.
		SuspectStartTimeout: 600 * time.Millisecond,
		SuspectInterval:     500 * time.Millisecond,
		// The longest task advances one percent every 330 ms, so it has missed seven such steps by then.
		HangTimeout:  2500 * time.Millisecond,
		RemoteFactor: 3,
		Retention:    2 * time.Minute,
		RefusalPause: map[StartResult]time.Duration{
			NoRoom: 300 * time.Millisecond, Unhealthy: time.Second, Refused: time.Second, Unreached: 300 * time.Millisecond,
		},
		FailuresBeforePause:  2,
		RepeatedFailurePause: 6 * time.Second,
		FirstFailurePause:    time.Second,
		EarlyFailurePause:    3 * time.Second,
		EarlyFailureWindow:   300 * time.Millisecond,
		QuickRackShare:       0.3,
	}
}

// Engine holds the owner's scheduling state and decides which task groups run where.
type Engine struct {
	cfg     Config
	workers map[string]*Worker
	// sortedWorkers has the workers ordered by ID, so that decisions are deterministic.
	sortedWorkers []*Worker
	// racks are in the order of their first workers, racksByName in that of their names; racksStale is true if both must be
	// rebuilt.
	racks       []*rack
	racksByName []*rack
	racksStale  bool
	jobs        map[string]*Job
	// openJobs are the jobs that have not ended, endedJobs the others, changedJobs those whose records must be made durable.
	openJobs    []*Job
	endedJobs   []*Job
	changedJobs []*Job
	queues      map[string]Queue
	// accounts has the workspaces by name, capped is true if any of them has a cap.
	accounts  map[string]*account
	capped    bool
	evacuated map[string]bool
	// inherited is what is known of the leases of earlier owners, beside Config.InheritedLease.
	inherited InheritedLeases
	// awaitsReports is true while exits that earlier owners have heard may still be reported.
	awaitsReports bool
	// heardExits are the exits whose records may not be durable, heardExitsKept is their number when durable ones were last dropped.
	heardExits     []heardExit
	heardExitsKept int
	actions        []Action
	// workersWithExits are the workers with exits that NewlyDurableExits has not returned as durable yet.
	workersWithExits map[*Worker]bool
	// usableAccelerators is the number of accelerators of all usable workers, utilization the share of them that is in use.
	usableAccelerators int
	utilization        float64
	crashRate          crashRate
	// closable counts the workers of each service that could get tasks, as of closableAt.
	closable   map[string]int
	closableAt time.Time
	// usages has how much of each service is in use, by name.
	usages map[string]*usage
	// backfillCount is the number of backfill reservations, backfillIdle the number of accelerators that are idle for them.
	backfillCount int
	backfillIdle  int
	// waitingGroups counts the task groups that the last decision left without a run, roomWaiters its searches that found no room.
	waitingGroups int
	roomWaiters   int
	// reservedGroups are the task groups with a reservation, the oldest reservation first.
	reservedGroups []*Group
	// freeIndex lists the open workers by their free accelerators.
	freeIndex freeIndex
	// examined counts the workers examined by the searches of the last decision, each as often as it was examined.
	examined int
	// kindSpeeds are the speeds that labels predict as of kindsUpdatedAt, speedsChanged is true if a worker's speed was sampled since;
	// kindsApplied is true if workers' speeds were completed with predictions.
	kindSpeeds     map[workerKind]kindSpeed
	kindsUpdatedAt time.Time
	speedsChanged  bool
	kindsApplied   bool
	// inheritedSpeeds are the speeds that an earlier owner has learned, by worker, until they are applied.
	inheritedSpeeds map[string]KnownSpeed
	// slowRuns are the runs that moveSlowRuns checks in this decision.
	slowRuns []slowRun
	// slotBuffer is reused by each search.
	slotBuffer []slot
}

// New returns an engine without workers, jobs and queues.
func New(cfg Config) *Engine {
	return &Engine{
		cfg: cfg, workers: make(map[string]*Worker), jobs: make(map[string]*Job),
		queues: make(map[string]Queue), accounts: make(map[string]*account), evacuated: make(map[string]bool),
		workersWithExits: make(map[*Worker]bool),
	}
}

// Policy is the part of the operators' configuration that the engine needs.
type Policy struct {
	Queues     []Queue
	Workspaces []Workspace
	// Evacuated are the data centres that get no new tasks.
	Evacuated map[string]bool
}

// Workspace is a tenant with its guarantee, its cap and its share.
type Workspace struct {
	Name string
	// Guaranteed is the number of accelerators that are guaranteed to its jobs of priority 0.
	Guaranteed int
	// Cap is the maximum that it may have running on all workers; zero fields are no limits.
	Cap Resources
	// Weight sets its share of the workers while there is not enough for all, relative to the other workspaces; zero sets none.
	Weight float64
}

// SetPolicy replaces the workspaces, the evacuated data centres and the given queues. Queues that are missing from the policy stay, and
// so do the caps of workspaces.
func (e *Engine) SetPolicy(p Policy) {
	for _, q := range p.Queues {
		e.queues[q.Name] = q
	}
	e.setWorkspaces(p.Workspaces)
	e.evacuated = p.Evacuated
}

// defaultMaxAttempts applies to jobs of earlier releases whose queue this owner has never seen in a configuration.
const defaultMaxAttempts = 2

// queue returns the configuration of the job's queue: the last one that this owner has seen, or else the one with which the job was
// accepted.
func (e *Engine) queue(j *Job) Queue {
	if q, ok := e.queues[j.Spec.Queue]; ok {
		return q
	}
	if c := j.Spec.Config; c != nil {
		return Queue{Name: j.Spec.Queue, Service: c.Service, Priority: c.Priority, MaxAttempts: c.MaxAttempts, Stretch: c.Stretch, Target: c.Target}
	}
	return Queue{Name: j.Spec.Queue, Priority: 9, MaxAttempts: defaultMaxAttempts, Stretch: 1}
}

// Jobs returns the number of loaded jobs.
func (e *Engine) Jobs() int { return len(e.jobs) }

// OpenJobs returns the number of jobs that have not ended.
func (e *Engine) OpenJobs() int { return len(e.openJobs) }

// WaitingGroups returns the number of task groups that could run but found no place in the last decision.
func (e *Engine) WaitingGroups() int { return e.waitingGroups }

// Examined returns how many workers the last decision examined in its searches for room, which is most of its cost.
func (e *Engine) Examined() int { return e.examined }

// Job returns the job with the ID, or nil.
func (e *Engine) Job(id string) *Job { return e.jobs[id] }

// insertOpen inserts the job into openJobs, which is ordered by acceptance, then ID.
func (e *Engine) insertOpen(j *Job) {
	at, _ := slices.BinarySearchFunc(e.openJobs, j, func(a, b *Job) int {
		if c := a.Accepted.Compare(b.Accepted); c != 0 {
			return c
		}
		return strings.Compare(a.ID(), b.ID())
	})
	e.openJobs = slices.Insert(e.openJobs, at, j)
}

// Update is a change of a job that must be made durable.
type Update struct {
	Job string
	// Record is the job's record; that of a divided one has no groups.
	Record work.Record
	// Parts are the changed parts of a divided record, in ascending order.
	Parts []ChangedPart
	// Head means that the record itself, which has the job's phase, is to be written, and not only parts of it.
	Head bool
	// NoLongerPending means that the job no longer counts as pending.
	NoLongerPending bool
	// Delete means that the job and all its keys are to be deleted.
	Delete bool
	// Rejected is true if the store has rejected the last update of the job.
	Rejected bool
	Queue    string

	plannedRuns []*Run
	// groups are the task groups whose records have changed.
	groups []*Group
	// changes is how many changes of the job the record includes; urgent is true if a caller or worker is waiting for it.
	changes int
	urgent  bool
}

// Updates returns at most limit changes that are not being made durable yet, those first that a caller or worker is waiting
// for; Committed or Uncommitted must be called for each of them.
func (e *Engine) Updates(limit int, now time.Time) []Update {
	var list []Update
	for _, urgent := range []bool{true, false} {
		e.changedJobs = slices.DeleteFunc(e.changedJobs, func(j *Job) bool {
			if len(list) == limit || j.inFlight || j.urgent != urgent || now.Before(j.rejectedUntil) {
				return false
			}
			list = append(list, e.newUpdate(j))
			j.dirty, j.inFlight, j.urgent = false, true, false
			return true
		})
	}
	for _, j := range e.endedJobs {
		if len(list) < limit && !j.dirty && !j.inFlight && !now.Before(j.rejectedUntil) && e.forgettable(j, now) {
			j.inFlight = true
			list = append(list, Update{Job: j.ID(), Queue: j.Spec.Queue, Delete: true, Rejected: j.rejections > 0})
		}
	}
	return list
}

// ChangedJobs returns the number of jobs with changes that Updates has not returned yet, including jobs that have an earlier
// update in flight.
func (e *Engine) ChangedJobs() int { return len(e.changedJobs) }

// markChanged marks the job's own state as changed, so that it is made durable.
func (e *Engine) markChanged(j *Job) {
	j.headChanged = true
	e.markDirty(j)
}

// markGroupChanged marks the record of the task group as changed, so that it is made durable.
func (e *Engine) markGroupChanged(g *Group) {
	if !g.changed {
		g.changed = true
		g.Job.changedGroups = append(g.Job.changedGroups, g)
	}
	e.markDirty(g.Job)
}

func (e *Engine) markDirty(j *Job) {
	j.changes++
	if !j.dirty {
		j.dirty = true
		e.changedJobs = append(e.changedJobs, j)
	}
}

// moveFinished moves jobs that have ended from openJobs to endedJobs, so that decisions skip them.
func (e *Engine) moveFinished() {
	e.openJobs = slices.DeleteFunc(e.openJobs, func(j *Job) bool {
		over := j.Record.Phase.Final()
		if over {
			e.endedJobs = append(e.endedJobs, j)
		}
		return over
	})
}

func (e *Engine) forgettable(j *Job, now time.Time) bool {
	return j.Record.Phase.Final() && now.Sub(j.endedAt) > e.cfg.Retention && j.AliveMembers() == 0
}

// AliveMembers returns the number of tasks of the job that run, are about to, or may do so as far as this owner knows.
func (j *Job) AliveMembers() int {
	n := 0
	for _, g := range j.groups {
		if g.Run != nil {
			n += g.Run.aliveMembers
		}
	}
	return n
}

func (e *Engine) newUpdate(j *Job) Update {
	j.Record.Change++
	u := Update{Job: j.ID(), Record: j.Record, Queue: j.Spec.Queue, Rejected: j.rejections > 0, groups: j.changedGroups, changes: j.changes, urgent: j.urgent}
	u.NoLongerPending = j.hasPendingKey && (j.begun || j.Record.Phase.Final())
	for _, g := range j.changedGroups {
		g.changed = false
		if g.Run != nil && g.Run.Members[0].State == Planned {
			u.plannedRuns = append(u.plannedRuns, g.Run)
		}
	}
	if j.Record.Division == 0 {
		u.Head, u.Record.Groups = true, slices.Clone(j.Record.Groups)
	} else {
		u.Head, u.Record.Groups = j.headChanged || j.dividing || u.NoLongerPending, nil
		u.Parts = j.changedParts()
	}
	j.changedGroups, j.headChanged = nil, false
	return u
}

// Committed records that an update is durable, and orders the starts of the runs that it planned.
func (e *Engine) Committed(u Update, now time.Time) {
	j := e.jobs[u.Job]
	if j == nil {
		return
	}
	if u.Delete {
		delete(e.jobs, u.Job)
		e.endedJobs = slices.DeleteFunc(e.endedJobs, func(o *Job) bool { return o == j })
		return
	}
	j.inFlight, j.durableChanges = false, u.changes
	j.rejections, j.rejectedUntil = 0, time.Time{}
	j.partsCommitted()
	if u.Head {
		e.HeadCommitted(u)
		j.dividing = j.dividing && u.Record.Division == 0
	}
	for _, run := range u.plannedRuns {
		for _, m := range run.Members {
			if m.State == Planned {
				e.orderStart(m, now)
			}
		}
	}
}

// HeadCommitted records that the record itself is durable, though not all parts of the update may be.
func (e *Engine) HeadCommitted(u Update) {
	j := e.jobs[u.Job]
	if j == nil {
		return
	}
	j.endDurable = u.Record.Phase.Final()
	if u.NoLongerPending {
		j.hasPendingKey = false
	}
}

// Uncommitted records that an update did not become durable, so that Updates returns the change again.
func (e *Engine) Uncommitted(u Update) {
	j := e.jobs[u.Job]
	if j == nil {
		return
	}
	j.inFlight = false
	j.urgent = j.urgent || u.urgent
	if u.Delete {
		return
	}
	for _, g := range u.groups {
		e.markGroupChanged(g)
	}
	if u.Head {
		e.markChanged(j)
	}
}
