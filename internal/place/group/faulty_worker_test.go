package group_test

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// workerLease is the lease that the owner grants, worstWorkerLease the longest time that it may last on the owner's clock.
	workerLease      = 6 * time.Second
	worstWorkerLease = 6200 * time.Millisecond
	// renewWithin is how long after its last answer the lease of a worker is renewed.
	renewWithin = 1200 * time.Millisecond
	// aloneAfter is how long a member of a gang waits for the others.
	aloneAfter = 4 * time.Second
)

// faultyTask is a task that runs on a faulty worker.
type faultyTask struct {
	entry   group.RunningEntry
	step    *work.Step
	job     string
	began   time.Time
	worked  time.Duration
	failing bool
}

// faultyWorker is a worker that may be cut off, lose answers, fail its tasks, crash and leave.
type faultyWorker struct {
	info      group.WorkerInfo
	listed    bool
	up        bool
	silent    bool
	lossy     bool
	failing   bool
	running   map[string]*faultyTask
	refused   map[string]int
	exits     []group.ExitEntry
	lastExit  int64
	leaseEnds time.Time
	// known is the incarnation that answered the owner's last poll, or zero if that had no answer; polledAt is when it was sent, and
	// answeredAt when the last one with an answer was.
	known      int64
	polledAt   time.Time
	answeredAt time.Time
}

// exit ends the task with the status.
func (w *faultyWorker) exit(task string, status group.ExitStatus) {
	t := w.running[task]
	delete(w.running, task)
	w.lastExit++
	w.refused[task] = max(w.refused[task], t.entry.Run)
	w.exits = append(w.exits, group.ExitEntry{Number: w.lastExit, Task: task, Run: t.entry.Run, Status: status})
}

// restart begins a new incarnation with nothing running.
func (w *faultyWorker) restart() {
	w.info.Incarnation++
	w.running, w.refused = make(map[string]*faultyTask), make(map[string]int)
	w.exits, w.lastExit = nil, 0
}

// used is the room of all that runs on the worker.
func (w *faultyWorker) used() (used group.Resources) {
	for _, t := range w.running {
		used = used.Add(needOf(t.step))
	}
	return used
}

func needOf(step *work.Step) group.Resources {
	return group.Resources{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
}

// listing answers a poll that acknowledges exits up to a number.
func (w *faultyWorker) listing(acknowledged int64) group.Listing {
	for len(w.exits) > 0 && w.exits[0].Number <= acknowledged {
		w.exits = w.exits[1:]
	}
	list := group.Listing{Incarnation: w.info.Incarnation, Exits: append([]group.ExitEntry(nil), w.exits...)}
	for _, t := range w.running {
		list.Running = append(list.Running, t.entry)
	}
	return list
}
