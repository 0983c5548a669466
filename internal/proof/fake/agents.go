package fake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
)

// Agents is a set of in-memory workers that check fencing tokens and run numbers; their leases never expire.
type Agents struct {
	mu      sync.Mutex
	workers map[string]*agentState
	// incarnations numbers the present incarnation of each worker that has restarted; the others are in their first one.
	incarnations map[string]int64
	changed      chan struct{}

	// OnStart is called before a start takes effect; if it returns an error, the start has no effect and the caller gets
	// an agent.LostError.
	OnStart func(worker string, start agent.Start) error
	// Starts counts the runs started, by task.
	Starts map[string]int
	// OverlappingStarts counts starts of a task that was running on some worker already.
	OverlappingStarts int
}

// runID identifies one run of a task.
type runID struct {
	task string
	run  int
}

// agentState is what one incarnation of a worker holds; highestRun is the highest run of a task that was stopped or has ended.
type agentState struct {
	token      int64
	running    map[runID]group.RunningEntry
	finished   []group.ExitEntry
	lastExit   int64
	highestRun map[string]int
	down       bool
}

func newAgentState() *agentState {
	return &agentState{running: make(map[runID]group.RunningEntry), highestRun: make(map[string]int)}
}

var _ agent.Client = (*Agents)(nil)

// NewAgents returns idle workers with the given IDs.
func NewAgents(ids ...string) *Agents {
	a := &Agents{workers: make(map[string]*agentState), incarnations: make(map[string]int64), changed: make(chan struct{}), Starts: make(map[string]int)}
	for _, id := range ids {
		a.workers[id] = newAgentState()
	}
	return a
}

// Restart ends all that runs on the worker, which comes back under its ID and knows nothing of before.
func (a *Agents) Restart(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.workers[worker] = newAgentState()
	a.incarnations[worker] = a.incarnation(worker) + 1
}

// incarnation returns the number of the worker's present incarnation. The caller holds a.mu.
func (a *Agents) incarnation(worker string) int64 { return max(a.incarnations[worker], 1) }

// Incarnation returns the number of the worker's present incarnation, 1 for one that has not restarted.
func (a *Agents) Incarnation(worker string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation(worker)
}

var errDown = errors.New("down")

// workerFor returns the target worker. It fails if the worker is down or has seen a newer token.
func (a *Agents) workerFor(to agent.Target, token int64) (*agentState, error) {
	w := a.workers[to.Worker]
	if w == nil || w.down {
		return nil, &agent.LostError{Worker: to.Worker, Cause: errDown}
	}
	return w, w.admit(to.Worker, token)
}

// admit refuses a call with a lower token than an earlier one.
func (w *agentState) admit(worker string, token int64) error {
	if token < w.token {
		return &agent.RefusedError{Worker: worker, Refusal: agent.OldToken}
	}
	w.token = token
	return nil
}

// present reports whether the run is there; it refuses one that is not higher than a run that was stopped or has ended.
func (w *agentState) present(worker string, start agent.Start) (bool, error) {
	if _, ok := w.running[runID{start.Task, start.Run}]; ok {
		return true, nil
	}
	if start.Run <= w.highestRun[start.Task] {
		return false, &agent.RefusedError{Worker: worker, Refusal: agent.OldRun}
	}
	return false, nil
}

func (w *agentState) begin(start agent.Start) {
	w.running[runID{start.Task, start.Run}] = group.RunningEntry{Task: start.Task, Run: start.Run, Checkpoint: start.Checkpoint}
}

// refuseUpTo refuses the run and earlier ones from now on.
func (w *agentState) refuseUpTo(id runID) { w.highestRun[id.task] = max(w.highestRun[id.task], id.run) }

// runs reports whether any run of the task is running.
func (w *agentState) runs(task string) bool {
	for id := range w.running {
		if id.task == task {
			return true
		}
	}
	return false
}

// forget drops the exits up to the number and returns them.
func (w *agentState) forget(number int64) []group.ExitEntry {
	count := 0
	for count < len(w.finished) && w.finished[count].Number <= number {
		count++
	}
	forgotten := w.finished[:count]
	w.finished = w.finished[count:]
	return forgotten
}

// listedExits is how many exits a worker lists at a time; it is small, so that tests meet listings that are not complete.
const listedExits = 2

func (w *agentState) listing(incarnation int64) group.Listing {
	listed := min(len(w.finished), listedExits)
	list := group.Listing{Incarnation: incarnation, Exits: slices.Clone(w.finished[:listed]), MoreExits: listed == listedExits}
	for _, entry := range w.running {
		list.Running = append(list.Running, entry)
	}
	return list
}

// Start starts a task; it does nothing if this run is running already, and refuses a run that is not higher than one that was
// stopped or has ended.
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
	if present, err := w.present(to.Worker, start); present || err != nil {
		return err
	}
	for _, other := range a.workers {
		if other.runs(start.Task) {
			a.OverlappingStarts++
		}
	}
	w.begin(start)
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
	id := runID{stop.Task, stop.Run}
	w.refuseUpTo(id)
	if _, ok := w.running[id]; ok {
		w.exit(id, group.Stopped)
		a.notifyChange()
	}
	return nil
}

func (w *agentState) exit(id runID, status group.ExitStatus) {
	delete(w.running, id)
	w.refuseUpTo(id)
	w.lastExit++
	w.finished = append(w.finished, group.ExitEntry{Number: w.lastExit, Task: id.task, Run: id.run, Status: status})
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
		w.forget(poll.Acknowledged)
		answer := agent.PollResponse{Clock: time.Second, Listing: w.listing(a.incarnation(to.Worker))}
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
		for id := range w.running {
			if id.task == task {
				w.exit(id, status)
				a.notifyChange()
				return true
			}
		}
	}
	return false
}

// WorkerOf returns the ID of the worker that runs the task, or "" if none does.
func (a *Agents) WorkerOf(task string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, w := range a.workers {
		if w.runs(task) {
			return id
		}
	}
	return ""
}

// Started returns how many runs of the task have started.
func (a *Agents) Started(task string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Starts[task]
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
