package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
)

// FleetTask is what a task needs and how long it runs until it ends as done.
type FleetTask struct {
	Need     group.Resources
	Duration time.Duration
	// Gang has the names of all tasks of the task's gang; it is empty for a single task.
	Gang []string
}

// FleetConfig describes the workers of a Fleet.
type FleetConfig struct {
	Seed    uint64
	Workers int
	Service string
	// Capacity is that of each worker.
	Capacity group.Resources
	MaxLease time.Duration
	// MaxStop is the longest time that a worker takes to stop a task.
	MaxStop time.Duration
	// MaxListLag is how old an entry of the worker list may be.
	MaxListLag time.Duration
	// Task describes the task of that name.
	Task func(name string) FleetTask
}

// Fleet is a set of in-memory workers that crash and come back under their IDs, behind a network that delays and loses calls.
// It records the rules that are broken.
type Fleet struct {
	cfg FleetConfig

	mu      sync.Mutex
	network Network
	ids     []string
	workers map[string]*fleetWorker
	began   time.Time
	checks  fleetChecks
	journal []string
}

// fleetWorker is one worker over all its incarnations; current is nil while it is down.
type fleetWorker struct {
	id       string
	rand     *rand.Rand
	current  *incarnation
	restarts []time.Time
	cutUntil time.Time
}

// incarnation is one incarnation of a worker, with a clock and a lease of its own.
type incarnation struct {
	*agentState
	worker *fleetWorker
	number int64
	began  time.Time
	// clockStart is the reading of the clock when the incarnation began, clockRate its speed.
	clockStart time.Duration
	clockRate  float64
	// leaseEnds is when the lease expires, on the clock of the incarnation.
	leaseEnds time.Duration
	// workingSince is when each run began to work; members of a gang wait for the others.
	workingSince map[runID]time.Time
	// crashed is closed when the incarnation ends, changed at each exit.
	crashed chan struct{}
	changed chan struct{}
}

var _ agent.Client = (*Fleet)(nil)

// NewFleet returns workers that are up and idle.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{cfg: cfg, workers: make(map[string]*fleetWorker), began: time.Now(), checks: newFleetChecks()}
	for i := range cfg.Workers {
		w := &fleetWorker{id: fmt.Sprintf("w%d", i), rand: rand.New(rand.NewPCG(cfg.Seed, uint64(i)))}
		f.ids = append(f.ids, w.id)
		f.workers[w.id] = w
		f.boot(w)
	}
	return f
}

// slowestClock is the lowest speed of a worker's clock, maxClockStart its highest reading at a start.
const (
	slowestClock  = 0.98
	maxClockStart = 30 * time.Second
)

// boot begins an incarnation. The caller holds f.mu, or has not yet shared f.
func (f *Fleet) boot(w *fleetWorker) {
	now := time.Now()
	w.current = &incarnation{
		agentState: newAgentState(), worker: w, number: now.UnixMilli(), began: now, clockStart: below(w.rand, maxClockStart),
		clockRate: slowestClock + (1-slowestClock)*w.rand.Float64(), workingSince: make(map[runID]time.Time), crashed: make(chan struct{}), changed: make(chan struct{}),
	}
	w.restarts = append(w.restarts, now)
	f.note("%s begins as %d", w.id, w.current.number)
}

// Restart ends the worker with all that runs on it and lets it come back under its ID after the given time, which must be a
// millisecond at least; a worker that is down stays as it is.
func (f *Fleet) Restart(id string, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w.current == nil {
		return
	}
	f.note("%s crashes with %d tasks", id, len(w.current.running))
	close(w.current.crashed)
	for run := range w.current.running {
		f.checks.crashes[run.task]++
		f.breakGang(w.current, run)
	}
	w.current = nil
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.boot(w)
	})
}

// IDs returns the IDs of all workers.
func (f *Fleet) IDs() []string { return f.ids }

// Restarts counts the restarts of all workers.
func (f *Fleet) Restarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		count += len(w.restarts) - 1
	}
	return count
}

// Running counts the tasks that run.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		if w.current != nil {
			count += len(w.current.running)
		}
	}
	return count
}

// Journal returns one line for each change on the workers.
func (f *Fleet) Journal() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.journal...)
}

// Note adds a line of the caller's to the journal.
func (f *Fleet) Note(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note("%s", text)
}

// note adds a line to the journal. The caller holds f.mu.
func (f *Fleet) note(format string, args ...any) {
	f.journal = append(f.journal, fmt.Sprintf("%8.3f ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// Start starts a task, which ends as done after its duration.
func (f *Fleet) Start(ctx context.Context, to agent.Target, start agent.Start) error {
	return f.send(ctx, to.Worker, "start "+start.Task, func(at *incarnation) error { return f.start(at, start) })
}

func (f *Fleet) start(at *incarnation, start agent.Start) error {
	id := at.worker.id
	if err := at.admit(id, start.Token); err != nil {
		return err
	}
	if start.Deadline <= at.clock(time.Now()) {
		return &agent.RefusedError{Worker: id, Refusal: agent.PastDeadline}
	}
	f.extendLease(at, start.Deadline)
	if present, err := at.present(id, start); present || err != nil {
		return err
	}
	task, run := f.cfg.Task(start.Task), runID{start.Task, start.Run}
	f.note("%s/%d starts %s run %d", id, at.number, start.Task, start.Run)
	f.checkStart(at, run, task.Need)
	at.begin(start)
	f.work(at, run, task)
	return nil
}

// Stop stops a run, which takes a while, and makes the worker refuse later starts of it.
func (f *Fleet) Stop(ctx context.Context, to agent.Target, stop agent.Stop) error {
	return f.send(ctx, to.Worker, "stop "+stop.Task, func(at *incarnation) error {
		if err := at.admit(at.worker.id, stop.Token); err != nil {
			return err
		}
		run := runID{stop.Task, stop.Run}
		at.refuseUpTo(run)
		f.note("%s/%d is told to stop %s run %d", at.worker.id, at.number, run.task, run.run)
		f.endAfter(at, run, below(at.worker.rand, f.cfg.MaxStop), group.Stopped)
		return nil
	})
}

// endAfter lets the run end after the delay if it still runs then.
func (f *Fleet) endAfter(at *incarnation, run runID, delay time.Duration, status group.ExitStatus) {
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if at.holds(run) {
			f.end(at, run, status)
		}
	})
}

// end ends a run that runs. The caller holds f.mu.
func (f *Fleet) end(at *incarnation, run runID, status group.ExitStatus) {
	at.exit(run, status)
	f.note("%s/%d ends %s run %d as %s, exit %d", at.worker.id, at.number, run.task, run.run, status, at.lastExit)
	f.checks.ended(at, at.lastExit, time.Now())
	if status != group.Done {
		f.breakGang(at, run)
	}
	close(at.changed)
	at.changed = make(chan struct{})
}

// Poll acknowledges exits, renews the lease and lists what runs and has ended; without exits it waits for one.
func (f *Fleet) Poll(ctx context.Context, to agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	var target *incarnation
	err := f.send(ctx, to.Worker, "poll", func(at *incarnation) error {
		if err := at.admit(at.worker.id, poll.Token); err != nil {
			return err
		}
		target = at
		f.acknowledge(at, poll.Acknowledged)
		f.extendLease(at, poll.Deadline)
		return nil
	})
	if err != nil {
		return agent.PollResponse{}, err
	}
	return f.awaitExit(ctx, target, poll.Wait)
}

// awaitExit answers a poll as soon as there is an exit, or after the given time.
func (f *Fleet) awaitExit(ctx context.Context, at *incarnation, wait time.Duration) (agent.PollResponse, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for expired := wait == 0; ; {
		f.mu.Lock()
		answer := agent.PollResponse{Clock: at.clock(time.Now()), Listing: at.listing(at.number)}
		for i := range answer.Running {
			answer.Running[i].Percent = f.percent(at, &answer.Running[i])
		}
		changed, delay := at.changed, f.network.delay(at.worker.rand)
		f.mu.Unlock()
		if expired || len(answer.Exits) > 0 {
			return answer, f.awaitAnswer(ctx, at, delay)
		}
		select {
		case <-ctx.Done():
			return agent.PollResponse{}, lost(at.worker.id, ctx.Err())
		case <-at.crashed:
			return agent.PollResponse{}, lost(at.worker.id, errDown)
		case <-limit.C:
			expired = true
		case <-changed:
		}
	}
}

// percent returns the progress of a run that runs. The caller holds f.mu.
func (f *Fleet) percent(at *incarnation, entry *group.RunningEntry) int {
	since := at.workingSince[runID{entry.Task, entry.Run}]
	if since.IsZero() {
		return 0
	}
	return min(int(100*time.Since(since)/f.cfg.Task(entry.Task).Duration), 99)
}
