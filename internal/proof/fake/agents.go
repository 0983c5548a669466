package fake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
)

// Agents is a set of in-memory workers that check fencing tokens and run numbers; their leases never expire.
type Agents struct {
	mu      sync.Mutex
	workers map[string]*agentState
	changed chan struct{}

	// OnStart is called before a start takes effect; if it returns an error, the start has no effect and the caller gets
	// an agent.LostError.
	OnStart func(worker string, start agent.Start) error
	// Starts counts the runs started, by task.
	Starts map[string]int
	// OverlappingStarts counts starts of a task that was running on some worker already.
	OverlappingStarts int
}

type agentState struct {
	token      int64
	running    map[string]group.RunningEntry
	finished   []group.ExitEntry
	lastExit   int64
	highestRun map[string]int
	down       bool
}

var _ agent.Client = (*Agents)(nil)

// NewAgents returns idle workers with the given IDs.
func NewAgents(ids ...string) *Agents {
	a := &Agents{workers: make(map[string]*agentState), changed: make(chan struct{}), Starts: make(map[string]int)}
	for _, id := range ids {
		a.workers[id] = &agentState{running: make(map[string]group.RunningEntry), highestRun: make(map[string]int)}
	}
	return a
}

var errDown = errors.New("down")

// workerFor returns the target worker. It fails if the worker is down or has seen a newer token.
func (a *Agents) workerFor(to agent.Target, token int64) (*agentState, error) {
	w := a.workers[to.Worker]
	if w == nil || w.down {
		return nil, &agent.LostError{Worker: to.Worker, Cause: errDown}
	}
	if token < w.token {
		return nil, &agent.RefusedError{Worker: to.Worker, Refusal: agent.OldToken}
	}
	w.token = token
	return w, nil
}

// Start starts a task; it does nothing if this run is running already, and refuses a run that is not newer than the last.
func (a *Agents) Start(_ context.Context, to agent.Target, start agent.Start) error {
	if a.OnStart != nil {
		if err := a.OnStart(to.Worker, start); err != nil {
			return &agent.LostError{Worker: to.Worker, Cause: err}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w, err := a.workerFor(to, start.Token)
	if err != nil {
		return err
	}
	if entry, ok := w.running[start.Task]; ok && entry.Run == start.Run {
		return nil
	}
	if start.Run <= w.highestRun[start.Task] {
		return &agent.RefusedError{Worker: to.Worker, Refusal: agent.OldRun}
	}
	for _, other := range a.workers {
		if _, ok := other.running[start.Task]; ok {
			a.OverlappingStarts++
		}
	}
	w.highestRun[start.Task] = start.Run
	w.running[start.Task] = group.RunningEntry{Task: start.Task, Run: start.Run, Checkpoint: start.Checkpoint}
	a.Starts[start.Task]++
	a.notifyChange()
	return nil
}

// Stop stops a run and makes the worker refuse later starts of it.
func (a *Agents) Stop(_ context.Context, to agent.Target, stop agent.Stop) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, err := a.workerFor(to, stop.Token)
	if err != nil {
		return err
	}
	w.highestRun[stop.Task] = max(w.highestRun[stop.Task], stop.Run)
	if entry, ok := w.running[stop.Task]; ok && entry.Run == stop.Run {
		w.exit(stop.Task, group.Stopped)
		a.notifyChange()
	}
	return nil
}

func (w *agentState) exit(task string, status group.ExitStatus) {
	entry := w.running[task]
	delete(w.running, task)
	w.lastExit++
	w.finished = append(w.finished, group.ExitEntry{Number: w.lastExit, Task: task, Run: entry.Run, Status: status})
}

// Poll drops the acknowledged exits and lists the running tasks and the remaining exits; without exits it waits for a
// change, for at most poll.Wait.
func (a *Agents) Poll(ctx context.Context, to agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	deadline := time.NewTimer(poll.Wait)
	defer deadline.Stop()
	for {
		a.mu.Lock()
		w, err := a.workerFor(to, poll.Token)
		if err != nil {
			a.mu.Unlock()
			return agent.PollResponse{}, err
		}
		for len(w.finished) > 0 && w.finished[0].Number <= poll.Acknowledged {
			w.finished = w.finished[1:]
		}
		answer := agent.PollResponse{Clock: time.Second, Listing: group.Listing{Incarnation: 1, Exits: append([]group.ExitEntry(nil), w.finished...)}}
		for _, entry := range w.running {
			answer.Running = append(answer.Running, entry)
		}
		changed := a.changed
		a.mu.Unlock()
		if len(answer.Exits) > 0 {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return agent.PollResponse{}, &agent.LostError{Worker: to.Worker, Cause: ctx.Err()}
		case <-deadline.C:
			return answer, nil
		case <-changed:
		}
	}
}

func (a *Agents) notifyChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// ExitTask makes a running task exit on whichever worker runs it, and reports whether it was running.
func (a *Agents) ExitTask(task string, status group.ExitStatus) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.workers {
		if _, ok := w.running[task]; ok {
			w.exit(task, status)
			a.notifyChange()
			return true
		}
	}
	return false
}

// WorkerOf returns the ID of the worker that runs the task, or "" if none does.
func (a *Agents) WorkerOf(task string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, w := range a.workers {
		if _, ok := w.running[task]; ok {
			return id
		}
	}
	return ""
}

// UnacknowledgedExits counts the exits that the workers still list.
func (a *Agents) UnacknowledgedExits() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, w := range a.workers {
		n += len(w.finished)
	}
	return n
}
