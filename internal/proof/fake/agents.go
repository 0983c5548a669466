package fake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/sets"
)

// Agents are workers in memory that keep the rules of leases, tokens and runs.
type Agents struct {
	mu      sync.Mutex
	workers map[string]*agentState
	changed chan struct{}

	// OnStart is called before a start is carried out; an error loses the call.
	OnStart func(worker string, start agent.Start) error
	// Starts counts the runs begun of each task.
	Starts map[string]int
	// Overlaps counts starts of a task that ran elsewhere at the time.
	Overlaps int
}

type agentState struct {
	token    int64
	running  map[string]sets.RunningEntry
	finished []sets.FinishedEntry
	last     int64
	highest  map[string]int
	down     bool
}

var _ agent.Client = (*Agents)(nil)

// NewAgents returns idle workers with the given IDs.
func NewAgents(ids ...string) *Agents {
	a := &Agents{workers: make(map[string]*agentState), changed: make(chan struct{}), Starts: make(map[string]int)}
	for _, id := range ids {
		a.workers[id] = &agentState{running: make(map[string]sets.RunningEntry), highest: make(map[string]int)}
	}
	return a
}

var errDown = errors.New("down")

// reach returns the worker if it may act on the token.
func (a *Agents) reach(to agent.Target, token int64) (*agentState, error) {
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

// Start starts a task.
func (a *Agents) Start(_ context.Context, to agent.Target, start agent.Start) error {
	if a.OnStart != nil {
		if err := a.OnStart(to.Worker, start); err != nil {
			return &agent.LostError{Worker: to.Worker, Cause: err}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w, err := a.reach(to, start.Token)
	if err != nil {
		return err
	}
	if entry, ok := w.running[start.Task]; ok && entry.Run == start.Run {
		return nil
	}
	if start.Run <= w.highest[start.Task] {
		return &agent.RefusedError{Worker: to.Worker, Refusal: agent.OldRun}
	}
	for _, other := range a.workers {
		if _, ok := other.running[start.Task]; ok {
			a.Overlaps++
		}
	}
	w.highest[start.Task] = start.Run
	w.running[start.Task] = sets.RunningEntry{Task: start.Task, Run: start.Run, Saved: start.Saved}
	a.Starts[start.Task]++
	a.announce()
	return nil
}

// Stop stops a run.
func (a *Agents) Stop(_ context.Context, to agent.Target, stop agent.Stop) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, err := a.reach(to, stop.Token)
	if err != nil {
		return err
	}
	w.highest[stop.Task] = max(w.highest[stop.Task], stop.Run)
	if entry, ok := w.running[stop.Task]; ok && entry.Run == stop.Run {
		w.end(stop.Task, sets.Stopped)
		a.announce()
	}
	return nil
}

func (w *agentState) end(task string, how sets.How) {
	entry := w.running[task]
	delete(w.running, task)
	w.last++
	w.finished = append(w.finished, sets.FinishedEntry{Number: w.last, Task: task, Run: entry.Run, How: how})
}

// Look renews the lease and lists what the worker holds.
func (a *Agents) Look(ctx context.Context, to agent.Target, look agent.Look) (agent.Answer, error) {
	deadline := time.NewTimer(look.Wait)
	defer deadline.Stop()
	for {
		a.mu.Lock()
		w, err := a.reach(to, look.Token)
		if err != nil {
			a.mu.Unlock()
			return agent.Answer{}, err
		}
		for len(w.finished) > 0 && w.finished[0].Number <= look.Acknowledged {
			w.finished = w.finished[1:]
		}
		answer := agent.Answer{Clock: time.Second, Listing: sets.Listing{Born: 1, Finished: append([]sets.FinishedEntry(nil), w.finished...)}}
		for _, entry := range w.running {
			answer.Running = append(answer.Running, entry)
		}
		changed := a.changed
		a.mu.Unlock()
		if len(answer.Finished) > 0 {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return agent.Answer{}, &agent.LostError{Worker: to.Worker, Cause: ctx.Err()}
		case <-deadline.C:
			return answer, nil
		case <-changed:
		}
	}
}

func (a *Agents) announce() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// End lets a task end wherever it runs; it reports whether it ran.
func (a *Agents) End(task string, how sets.How) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.workers {
		if _, ok := w.running[task]; ok {
			w.end(task, how)
			a.announce()
			return true
		}
	}
	return false
}

// Running returns the worker that runs the task, or nothing.
func (a *Agents) Running(task string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, w := range a.workers {
		if _, ok := w.running[task]; ok {
			return id
		}
	}
	return ""
}

// Unacknowledged counts the ends that the worker still lists.
func (a *Agents) Unacknowledged() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, w := range a.workers {
		n += len(w.finished)
	}
	return n
}
