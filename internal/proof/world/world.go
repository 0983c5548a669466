package world

import (
	"container/heap"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
)

// Program runs one process with the given access until ctx ends, then closes done; owns reports whether it is the owner.
type Program func(ctx context.Context, access *Process, done chan<- struct{}) (owns func() bool)

// Config describes a world.
type Config struct {
	// Instances are the names of the instances; each runs Program, and again after each loss.
	Instances []string
	Program   Program
	Workers   []WorkerConfig
	MaxLease  time.Duration
	// MaxValueBytes and MaxEntries are the limits of the store; zero MaxValueBytes means none.
	MaxValueBytes int
	MaxEntries    int
	Queues        []group.Queue
	// Workspaces are those of the first configuration; LowerCap changes them.
	Workspaces []group.Workspace
	// Jobs are submitted at their times.
	Jobs []Job
	// PeerDelay is how long an instance takes to answer another one.
	PeerDelay time.Duration
	// Events are the planned changes, Faults the disturbances by the number of the step at which they begin.
	Events []Event
	Faults map[int]Fault
	// Bounds are the times within which rules must hold.
	Bounds Bounds
	// Settle returns once all goroutines are blocked: synctest.Wait.
	Settle func()
}

// Bounds are the times within which rules must hold once the world is calm.
type Bounds struct {
	// Cancel is the time after which nothing of an ended job may start, Stop the time that a worker takes to stop a task.
	Cancel time.Duration
	Stop   time.Duration
	// Drain and Evacuate are the times after which nothing may start on a draining worker and in an evacuated data centre.
	Drain    time.Duration
	Evacuate time.Duration
	// Config is the time after which a changed configuration must be applied.
	Config time.Duration
	// Contact is how long a disturbance counts as near.
	Contact time.Duration
	// Finish is how long after the last disturbance all jobs must have ended.
	Finish time.Duration
	// Run is the longest time that a run takes, as workers that crash again and again are never calm.
	Run time.Duration
}

// World is one run.
type World struct {
	cfg   Config
	began time.Time
	store *fake.Transactor

	mu      sync.Mutex
	arrived []*call
	wake    chan struct{}

	events    eventQueue
	sequence  int
	steps     []Step
	processes []*Process
	workers   []*worker
	byID      map[string]*worker
	watches   []*watch
	evacuated map[string]time.Time
	// removedQueues are the queues that are in no configuration any more.
	removedQueues map[string]bool
	workspaces    map[string]*workspace
	tasks         map[string]*task
	checks        checks
	// effects are the lines of the journal that are not log lines of an instance.
	effects []string
	journal []string
	// calmAt is when the last disturbance ends, as far as known; disturbances counts those that last.
	calmAt time.Time
	// storeAwayUntil is when the store answers again.
	storeAwayUntil time.Time
}

// Step is one call of an instance, in the order of arrival.
type Step struct {
	At time.Duration
	// Process made the call; Owner is true if it was the owner or about to be.
	Process string
	Owner   bool
	Name    string
	// State identifies what the store and the workers held as the call arrived.
	State uint64
}

// New returns a world whose instances and workers are up.
func New(ctx context.Context, cfg Config) *World {
	w := &World{
		cfg: cfg, began: time.Now(), store: fake.NewTransactor(), wake: make(chan struct{}, 1), byID: make(map[string]*worker),
		evacuated: make(map[string]time.Time), removedQueues: make(map[string]bool), workspaces: make(map[string]*workspace), tasks: make(map[string]*task), checks: newChecks(),
	}
	if cfg.MaxValueBytes > 0 {
		w.store.SetLimits(cfg.MaxValueBytes, cfg.MaxEntries)
	}
	for _, c := range cfg.Workers {
		one := &worker{world: w, WorkerConfig: c}
		w.workers = append(w.workers, one)
		w.byID[c.ID] = one
		one.boot(w.began)
	}
	for _, ws := range cfg.Workspaces {
		w.workspaces[ws.Name] = &workspace{Workspace: ws}
	}
	for i := range cfg.Jobs {
		w.schedule(w.began.Add(cfg.Jobs[i].At), func(now time.Time) { w.submit(&cfg.Jobs[i], now) })
	}
	for _, e := range cfg.Events {
		w.schedule(w.began.Add(e.At), func(now time.Time) { e.Apply(w, now) })
	}
	for _, name := range cfg.Instances {
		w.startProcess(ctx, name)
	}
	return w
}

// timed is an effect at a time.
type timed struct {
	at       time.Time
	sequence int
	apply    func(now time.Time)
}

// eventQueue is a heap of effects, the earliest first.
type eventQueue []*timed

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an element; it is called by container/heap only.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*timed)) }

// Pop removes the last element; it is called by container/heap only.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule lets the effect happen at the time.
func (w *World) schedule(at time.Time, apply func(now time.Time)) {
	w.sequence++
	heap.Push(&w.events, &timed{at: at, sequence: w.sequence, apply: apply})
}

// Run executes calls and effects in order until all jobs have ended and the world has been quiet for a while, or until the time
// by which they must have ended.
func (w *World) Run() {
	for !w.over(time.Now()) {
		w.cfg.Settle()
		if w.admitArrived(time.Now()) {
			continue
		}
		now := time.Now()
		w.checkEnded(now)
		if len(w.events) > 0 && !w.events[0].at.After(now) {
			heap.Pop(&w.events).(*timed).apply(now)
			continue
		}
		w.sleep(now)
	}
}

// idleCheck is how often the end of the run is checked while nothing happens.
const idleCheck = 50 * time.Millisecond

// sleep waits for the next effect or call.
func (w *World) sleep(now time.Time) {
	wait := idleCheck
	if len(w.events) > 0 {
		wait = min(wait, w.events[0].at.Sub(now))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	}
}

// quiet is how long the world runs on after all jobs have ended.
const quiet = 1500 * time.Millisecond

// over reports whether the run can end.
func (w *World) over(now time.Time) bool {
	switch {
	case now.Before(w.planned()):
		return false
	case now.After(w.deadline()) || now.Sub(w.began) > w.cfg.Bounds.Run:
		return true
	case now.Before(w.calmAt) || !w.allEnded() || w.running() > 0 || w.unacknowledged() > 0:
		w.checks.quietSince = time.Time{}
		return false
	case w.checks.quietSince.IsZero():
		w.checks.quietSince = now
	}
	return now.Sub(w.checks.quietSince) > quiet
}

// planned is when the last planned change happens.
func (w *World) planned() time.Time {
	last := time.Duration(0)
	for i := range w.cfg.Jobs {
		last = max(last, w.cfg.Jobs[i].At)
	}
	for _, e := range w.cfg.Events {
		last = max(last, e.At)
	}
	return w.began.Add(last)
}

// deadline is when all jobs must have ended.
func (w *World) deadline() time.Time { return later(w.calmAt, w.planned()).Add(w.cfg.Bounds.Finish) }

// Close ends all processes and reports the jobs that should have ended.
func (w *World) Close() {
	w.checkOpen()
	for _, p := range w.processes {
		p.dead = true
		p.kill()
		<-p.done
	}
}

// disturbed records that a disturbance lasts until the time.
func (w *World) disturbed(until time.Time) { w.calmAt = later(w.calmAt, until) }

// Steps returns the calls so far.
func (w *World) Steps() []Step { return w.steps }

// Journal returns one line for each effect and log entry.
func (w *World) Journal() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.journal)
}

// Effects returns one line for each effect on the store, the workers and the network.
func (w *World) Effects() []string { return w.effects }

// log adds a line to the journal.
func (w *World) log(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal = append(w.journal, fmt.Sprintf("%9.4f %s", time.Since(w.began).Seconds(), text))
}

// notef adds an effect.
func (w *World) notef(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.effects = append(w.effects, fmt.Sprintf("%s %s", time.Since(w.began), text))
	w.log(text)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
