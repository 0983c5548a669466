package sets

import (
	"slices"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Config holds the engine's bounds.
type Config struct {
	// HeardWithin is how recently a worker must have answered to be given work.
	HeardWithin time.Duration
	// InheritedLease is how long tasks may live that an earlier owner kept alive.
	InheritedLease time.Duration
	// StopTimeout is how long a worker may take to stop a task.
	StopTimeout time.Duration
	// StartTimeout is how long a start may stay without an answer before the run is given up.
	StartTimeout time.Duration
	// DoubtedTimeout is the same for a worker that has not answered anything since.
	SuspectStartTimeout time.Duration
	// DoubtAgain is how soon a worker may be doubted again.
	SuspectInterval time.Duration
	// HangTimeout is how long a task may make no progress before its run is moved.
	HangTimeout time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
	// Retention is how long a job is kept after its end.
	Retention time.Duration
	// Avoid is how long a worker gets no work after each kind of refusal.
	RefusalPause map[StartResult]time.Duration
	// FaultsBeforePause is how many distinct sets must fail on a worker before it gets no work for FaultPause.
	FailuresBeforePause  int
	RepeatedFailurePause time.Duration
	// FirstFaultPause is the pause after a single failure, and FastFaultPause after one within FastFault of its start, which
	// is a worker's fault more often than a job's.
	FirstFailurePause  time.Duration
	EarlyFailurePause  time.Duration
	EarlyFailureWindow time.Duration
	// QuickShare is the share of the racks that only jobs of priority 0 and work bound to its data may use.
	QuickRackShare float64
}

// DefaultConfig returns bounds that suit leases of a few seconds.
func DefaultConfig() Config {
	return Config{
		// Two polls of an idle worker.
		HeardWithin:    4 * time.Second,
		InheritedLease: 15 * time.Second,
		StopTimeout:    900 * time.Millisecond,
		// Half of the shortest time after which members of a gang give up waiting for the others.
		StartTimeout: 1500 * time.Millisecond,
		// Many times the way there and back; the others of a gang wait meanwhile.
		SuspectStartTimeout: 600 * time.Millisecond,
		SuspectInterval:     500 * time.Millisecond,
		// The longest task moves by a percent each 330 ms, so this is seven missed steps.
		HangTimeout:  2500 * time.Millisecond,
		RemoteFactor: 3,
		Retention:    2 * time.Minute,
		RefusalPause: map[StartResult]time.Duration{
			NoRoom: 300 * time.Millisecond, Unhealthy: time.Second, Outdated: 0, Refused: time.Second, Unreached: 300 * time.Millisecond,
		},
		FailuresBeforePause:  2,
		RepeatedFailurePause: 6 * time.Second,
		FirstFailurePause:    time.Second,
		EarlyFailurePause:    3 * time.Second,
		EarlyFailureWindow:   300 * time.Millisecond,
		QuickRackShare:       0.3,
	}
}

// Engine is the decision state of the owner.
type Engine struct {
	cfg     Config
	workers map[string]*Worker
	// order has the workers by ID, so that decisions repeat.
	sortedWorkers []*Worker
	// racks are in the order of their first workers, racksByName by name; regroup is true once they must be worked out anew.
	racks       []*rack
	racksByName []*rack
	racksStale  bool
	jobs        map[string]*Job
	// open has the jobs that are not over and ended the others, changed those whose records must be made durable.
	openJobs    []*Job
	endedJobs   []*Job
	changedJobs []*Job
	queues      map[string]Queue
	guaranteed  map[string]int
	evacuated   map[string]bool
	actions     []Action
	// ending are the workers with ends that were not handed out as settled.
	workersWithExits map[*Worker]bool
	// whole is the usable workers' accelerators, use the share of them that is in use.
	usableAccelerators int
	utilization        float64
	// reserved counts the gangs that have room kept for them, keptIdle the accelerators that lie idle for that.
	backfillCount int
	backfillIdle  int
	// waiting counts the sets without a place.
	waitingGroups int
	// claimants are the sets that have claimed room, the first first.
	reservedGroups []*Group
	// stock has the open workers by their free accelerators.
	freeIndex freeIndex
	// visited counts the looks at workers in the searches of the last decision.
	examined int
	// slotBuffer is used by one search after the other.
	slotBuffer []slot
}

// New returns an engine that knows nothing yet.
func New(cfg Config) *Engine {
	return &Engine{
		cfg: cfg, workers: make(map[string]*Worker), jobs: make(map[string]*Job),
		queues: make(map[string]Queue), guaranteed: make(map[string]int), evacuated: make(map[string]bool),
		workersWithExits: make(map[*Worker]bool),
	}
}

// SetPolicy replaces queues, guaranteed accelerators by workspace, and the data centres that must get no new tasks.
func (e *Engine) SetPolicy(queues []Queue, guaranteed map[string]int, evacuated map[string]bool) {
	for _, q := range queues {
		e.queues[q.Name] = q
	}
	e.guaranteed, e.evacuated = guaranteed, evacuated
}

// defaultAttempts is used for jobs of a queue that this owner never saw in a configuration.
const defaultMaxAttempts = 2

func (e *Engine) queue(j *Job) Queue {
	if q, ok := e.queues[j.Spec.Queue]; ok {
		return q
	}
	return Queue{Name: j.Spec.Queue, Priority: 9, MaxAttempts: defaultMaxAttempts, Stretch: 1}
}

// Open counts the jobs that are not over.
func (e *Engine) Open() int { return len(e.openJobs) }

// Waiting counts the sets that could run and found no place in the last decision.
func (e *Engine) Waiting() int { return e.waitingGroups }

// Visited counts the looks at workers in the searches for room of the last decision, which is what a decision costs.
func (e *Engine) Visited() int { return e.examined }

// Job returns the job of that ID, or nil.
func (e *Engine) Job(id string) *Job { return e.jobs[id] }

// keepOpen inserts the job by acceptance, then ID.
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
	Job    string
	Record work.Record
	// Begun means that the job no longer counts as pending.
	Begun bool
	// Forget means that the job and all its keys go.
	Forget bool
	Queue  string

	plannedRuns []*Run
	// changes is how many changes of the job the record holds, urgent is true if somebody waits for it.
	changes int
	urgent  bool
}

// Updates hands out up to most changes that are not being made durable yet, those first that callers or workers wait for;
// Committed or Uncommitted must follow for each.
func (e *Engine) Updates(limit int, now time.Time) []Update {
	var list []Update
	for _, urgent := range []bool{true, false} {
		e.changedJobs = slices.DeleteFunc(e.changedJobs, func(j *Job) bool {
			if len(list) == limit || j.inFlight || j.urgent != urgent {
				return false
			}
			list = append(list, e.newUpdate(j))
			j.dirty, j.inFlight, j.urgent = false, true, false
			return true
		})
	}
	for _, j := range e.endedJobs {
		if len(list) < limit && !j.dirty && !j.inFlight && e.forgettable(j, now) {
			j.inFlight = true
			list = append(list, Update{Job: j.ID(), Queue: j.Spec.Queue, Forget: true})
		}
	}
	return list
}

// Changed counts the jobs whose changes wait to be handed out, however many of them are on their way already.
func (e *Engine) Changed() int { return len(e.changedJobs) }

// touch notes that the job's record must be made durable.
func (e *Engine) markChanged(j *Job) {
	j.changes++
	if !j.dirty {
		j.dirty = true
		e.changedJobs = append(e.changedJobs, j)
	}
}

// sweep moves jobs that are over out of the way of decisions.
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
	return j.Record.Phase.Final() && now.Sub(j.endedAt) > e.cfg.Retention && j.aliveMembers() == 0
}

func (j *Job) aliveMembers() int {
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
	u := Update{Job: j.ID(), Record: j.Record, Queue: j.Spec.Queue, changes: j.changes, urgent: j.urgent}
	u.Record.Sets = slices.Clone(j.Record.Sets)
	u.Begun = j.hasPendingKey && (j.begun || j.Record.Phase.Final())
	for _, g := range j.groups {
		if g.Run != nil && g.Run.Members[0].State == Planned {
			u.plannedRuns = append(u.plannedRuns, g.Run)
		}
	}
	return u
}

// Committed notes that an update is durable; what it planned may start now.
func (e *Engine) Committed(u Update, now time.Time) {
	j := e.jobs[u.Job]
	if j == nil {
		return
	}
	if u.Forget {
		delete(e.jobs, u.Job)
		e.endedJobs = slices.DeleteFunc(e.endedJobs, func(o *Job) bool { return o == j })
		return
	}
	j.inFlight, j.durableChanges = false, u.changes
	if u.Begun {
		j.hasPendingKey = false
	}
	for _, run := range u.plannedRuns {
		for _, m := range run.Members {
			if m.State == Planned {
				e.orderStart(m, now)
			}
		}
	}
}

// Uncommitted notes that an update did not become durable; it is handed out again.
func (e *Engine) Uncommitted(u Update) {
	j := e.jobs[u.Job]
	if j == nil {
		return
	}
	j.inFlight = false
	j.urgent = j.urgent || u.urgent
	if !u.Forget {
		e.markChanged(j)
	}
}
