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
	DoubtedTimeout time.Duration
	// DoubtAgain is how soon a worker may be doubted again.
	DoubtAgain time.Duration
	// HangTimeout is how long a task may make no progress before its run is moved.
	HangTimeout time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
	// Retention is how long a job is kept after its end.
	Retention time.Duration
	// Avoid is how long a worker gets no work after each kind of refusal.
	Avoid map[StartResult]time.Duration
	// FaultsBeforePause is how many distinct sets must fail on a worker before it gets no work for FaultPause.
	FaultsBeforePause int
	FaultPause        time.Duration
	// FirstFaultPause is the pause after a single failure, and FastFaultPause after one within FastFault of its start, which
	// is a worker's fault more often than a job's.
	FirstFaultPause time.Duration
	FastFaultPause  time.Duration
	FastFault       time.Duration
	// QuickShare is the share of the racks that only jobs of priority 0 and work bound to its data may use.
	QuickShare float64
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
		DoubtedTimeout: 600 * time.Millisecond,
		DoubtAgain:     500 * time.Millisecond,
		// The longest task moves by a percent each 330 ms, so this is seven missed steps.
		HangTimeout:  2500 * time.Millisecond,
		RemoteFactor: 3,
		Retention:    2 * time.Minute,
		Avoid: map[StartResult]time.Duration{
			NoRoom: 300 * time.Millisecond, Unhealthy: time.Second, Outdated: 0, Refused: time.Second, Unreached: 300 * time.Millisecond,
		},
		FaultsBeforePause: 2,
		FaultPause:        6 * time.Second,
		FirstFaultPause:   time.Second,
		FastFaultPause:    3 * time.Second,
		FastFault:         300 * time.Millisecond,
		QuickShare:        0.3,
	}
}

// Engine is the decision state of the owner.
type Engine struct {
	cfg     Config
	workers map[string]*Worker
	// order has the workers by ID, so that decisions repeat.
	order []*Worker
	// racks are in the order of their first workers, racksByName by name; regroup is true once they must be worked out anew.
	racks       []*rack
	racksByName []*rack
	regroup     bool
	jobs        map[string]*Job
	// open has the jobs that are not over and ended the others, changed those whose records must be made durable.
	open      []*Job
	ended     []*Job
	changed   []*Job
	queues    map[string]Queue
	promised  map[string]int
	evacuated map[string]bool
	actions   []Action
	// ending are the workers with ends that were not handed out as settled.
	ending map[*Worker]bool
	// whole is the usable workers' accelerators, use the share of them that is in use.
	whole int
	use   float64
	// reserved counts the gangs that have room kept for them, keptIdle the accelerators that lie idle for that.
	reserved int
	keptIdle int
	// waiting counts the sets without a place.
	waiting int
	// claimants are the sets that have claimed room, the first first.
	claimants []*Set
	// stock has the open workers by their free accelerators.
	stock stock
	// visited counts the looks at workers in the searches of the last decision.
	visited int
	// slotBuffer is used by one search after the other.
	slotBuffer []slot
}

// New returns an engine that knows nothing yet.
func New(cfg Config) *Engine {
	return &Engine{
		cfg: cfg, workers: make(map[string]*Worker), jobs: make(map[string]*Job),
		queues: make(map[string]Queue), promised: make(map[string]int), evacuated: make(map[string]bool),
		ending: make(map[*Worker]bool),
	}
}

// SetPolicy replaces queues, guaranteed accelerators by workspace, and the data centres that must get no new tasks.
func (e *Engine) SetPolicy(queues []Queue, promised map[string]int, evacuated map[string]bool) {
	for _, q := range queues {
		e.queues[q.Name] = q
	}
	e.promised, e.evacuated = promised, evacuated
}

// defaultAttempts is used for jobs of a queue that this owner never saw in a configuration.
const defaultAttempts = 2

func (e *Engine) queue(j *Job) Queue {
	if q, ok := e.queues[j.Spec.Queue]; ok {
		return q
	}
	return Queue{Name: j.Spec.Queue, Priority: 9, MaxAttempts: defaultAttempts, Stretch: 1}
}

// Open counts the jobs that are not over.
func (e *Engine) Open() int { return len(e.open) }

// Waiting counts the sets that could run and found no place in the last decision.
func (e *Engine) Waiting() int { return e.waiting }

// Visited counts the looks at workers in the searches for room of the last decision, which is what a decision costs.
func (e *Engine) Visited() int { return e.visited }

// Job returns the job of that ID, or nil.
func (e *Engine) Job(id string) *Job { return e.jobs[id] }

// keepOpen inserts the job by acceptance, then ID.
func (e *Engine) keepOpen(j *Job) {
	at, _ := slices.BinarySearchFunc(e.open, j, func(a, b *Job) int {
		if c := a.Accepted.Compare(b.Accepted); c != 0 {
			return c
		}
		return strings.Compare(a.ID(), b.ID())
	})
	e.open = slices.Insert(e.open, at, j)
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

	planned []*Run
	// changes is how many changes of the job the record holds, urgent is true if somebody waits for it.
	changes int
	urgent  bool
}

// Updates hands out up to most changes that are not being made durable yet, those first that callers or workers wait for;
// Committed or Uncommitted must follow for each.
func (e *Engine) Updates(most int, now time.Time) []Update {
	var list []Update
	for _, urgent := range []bool{true, false} {
		e.changed = slices.DeleteFunc(e.changed, func(j *Job) bool {
			if len(list) == most || j.inFlight || j.urgent != urgent {
				return false
			}
			list = append(list, e.update(j))
			j.dirty, j.inFlight, j.urgent = false, true, false
			return true
		})
	}
	for _, j := range e.ended {
		if len(list) < most && !j.dirty && !j.inFlight && e.forgettable(j, now) {
			j.inFlight = true
			list = append(list, Update{Job: j.ID(), Queue: j.Spec.Queue, Forget: true})
		}
	}
	return list
}

// Changed counts the jobs whose changes wait to be handed out, however many of them are on their way already.
func (e *Engine) Changed() int { return len(e.changed) }

// touch notes that the job's record must be made durable.
func (e *Engine) touch(j *Job) {
	j.changes++
	if !j.dirty {
		j.dirty = true
		e.changed = append(e.changed, j)
	}
}

// sweep moves jobs that are over out of the way of decisions.
func (e *Engine) sweep() {
	e.open = slices.DeleteFunc(e.open, func(j *Job) bool {
		over := j.Record.Phase.Final()
		if over {
			e.ended = append(e.ended, j)
		}
		return over
	})
}

func (e *Engine) forgettable(j *Job, now time.Time) bool {
	return j.Record.Phase.Final() && now.Sub(j.endedAt) > e.cfg.Retention && j.alive() == 0
}

func (j *Job) alive() int {
	n := 0
	for _, s := range j.sets {
		if s.Run != nil {
			n += s.Run.alive
		}
	}
	return n
}

func (e *Engine) update(j *Job) Update {
	j.Record.Change++
	u := Update{Job: j.ID(), Record: j.Record, Queue: j.Spec.Queue, changes: j.changes, urgent: j.urgent}
	u.Record.Sets = slices.Clone(j.Record.Sets)
	u.Begun = j.waitKept && (j.begun || j.Record.Phase.Final())
	for _, s := range j.sets {
		if s.Run != nil && s.Run.Members[0].State == Planned {
			u.planned = append(u.planned, s.Run)
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
		e.ended = slices.DeleteFunc(e.ended, func(o *Job) bool { return o == j })
		return
	}
	j.inFlight, j.durable = false, u.changes
	if u.Begun {
		j.waitKept = false
	}
	for _, run := range u.planned {
		for _, m := range run.Members {
			if m.State == Planned {
				e.start(m, now)
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
		e.touch(j)
	}
}
