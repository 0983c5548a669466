package fake

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// reservationTTL is how long a worker keeps a reserved task that is not started.
const reservationTTL = 5 * time.Second

// defaultTaskDuration is the run time of a task whose payload is not a duration.
const defaultTaskDuration = time.Second

// heldTask is a task on a fake worker, in any phase until its exit is acknowledged.
type heldTask struct {
	worker.Status
	reservedUntil time.Time
	finishesAt    time.Time
	checkpointAt  time.Time
}

// workerState is one fake worker.
type workerState struct {
	epoch        int64
	leaseExpires time.Time
	tasks        map[worker.TaskID]*heldTask
	down         bool
	bad          bool
	// acked holds the acknowledged tasks, so that a repeated order does not run a task again.
	acked map[worker.TaskID]bool
}

// Workers is a set of fake workers that implements worker.Link.
//
// A task runs for the duration given in its payload. Phases that change with time are updated at each call.
type Workers struct {
	mu      sync.Mutex
	now     func() time.Time
	workers map[string]*workerState
	starts  []worker.TaskID
}

// NewWorkers returns an empty set; a worker is created when it is first named.
func NewWorkers(now func() time.Time) *Workers {
	return &Workers{now: now, workers: make(map[string]*workerState)}
}

// SetDown makes a worker unreachable; its running tasks stop when its lease expires.
func (f *Workers) SetDown(name string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.worker(name).down = down
}

// SetFailing makes every task that a worker starts fail at once.
func (f *Workers) SetFailing(name string, bad bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.worker(name).bad = bad
}

// Starts returns all tasks that have been started so far, in order.
func (f *Workers) Starts() []worker.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]worker.TaskID(nil), f.starts...)
}

func (f *Workers) worker(name string) *workerState {
	w := f.workers[name]
	if w == nil {
		w = &workerState{tasks: make(map[worker.TaskID]*heldTask), acked: make(map[worker.TaskID]bool)}
		f.workers[name] = w
	}
	return w
}

// Sync executes the orders of the request and returns the worker's tasks; it returns a worker.StaleError if the epoch is
// older than one that the worker has seen.
func (f *Workers) Sync(_ context.Context, request worker.Request) (worker.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.worker(request.Worker)
	now := f.now()
	if w.down {
		return worker.Response{}, &worker.UnreachableError{Worker: request.Worker, Cause: "the fake worker is down"}
	}
	w.advanceTo(now)
	if request.Epoch < w.epoch {
		return worker.Response{Epoch: w.epoch}, &worker.StaleError{Worker: request.Worker, Epoch: w.epoch}
	}
	w.epoch = request.Epoch
	w.leaseExpires = now.Add(request.Lease.Duration)
	f.applyOrders(w, request, now)
	return w.report(request.OmitSpecs), nil
}

func (f *Workers) applyOrders(w *workerState, request worker.Request, now time.Time) {
	for _, id := range request.Ack {
		delete(w.tasks, id)
		w.acked[id] = true
	}
	for _, task := range request.Reserve {
		if w.tasks[task.TaskID] == nil && !w.acked[task.TaskID] {
			w.tasks[task.TaskID] = &heldTask{Status: worker.Status{Task: task, Phase: worker.Reserved}, reservedUntil: now.Add(reservationTTL)}
		}
	}
	for _, id := range request.Start {
		if task := w.tasks[id]; task != nil && task.Phase == worker.Reserved {
			f.starts = append(f.starts, id)
			w.start(task, now)
		}
	}
	for _, order := range request.Stop {
		task := w.tasks[order.TaskID]
		if task == nil {
			w.acked[order.TaskID] = true
			continue
		}
		w.stop(task, order.Checkpoint, now)
	}
}

func (w *workerState) start(task *heldTask, now time.Time) {
	run, err := time.ParseDuration(task.Spec.Payload)
	if err != nil {
		run = defaultTaskDuration
	}
	task.Phase = worker.Running
	task.Started = now
	task.finishesAt = now.Add(max(run-task.Progress.Duration, 0))
	if w.bad {
		task.Phase = worker.Failed
		task.Result = "the worker fails everything"
	}
}

func (w *workerState) stop(task *heldTask, checkpoint bool, now time.Time) {
	switch {
	case task.Phase == worker.Reserved:
		task.Phase = worker.Stopped
	case task.Phase != worker.Running:
	case checkpoint:
		task.Phase = worker.Checkpointing
		task.checkpointAt = now.Add(task.Spec.CheckpointTakes.Duration)
		task.Progress = span.Of(task.Progress.Duration + now.Sub(task.Started))
	default:
		task.halt(now)
	}
}

// halt stops a running task at the given time; it keeps only the progress up to the last periodic checkpoint.
func (t *heldTask) halt(at time.Time) {
	ran := at.Sub(t.Started)
	kept := time.Duration(0)
	if every := t.Spec.CheckpointEvery.Duration; every > 0 {
		kept = ran.Truncate(every)
	}
	t.Progress = span.Of(t.Progress.Duration + kept)
	t.Phase = worker.Stopped
}

// advanceTo applies the effects of time: tasks finish, checkpoints complete, reservations and leases expire.
func (w *workerState) advanceTo(now time.Time) {
	lapsed := now.After(w.leaseExpires)
	for _, task := range w.tasks {
		until := now
		if lapsed {
			until = w.leaseExpires
		}
		switch {
		case task.Phase == worker.Reserved && now.After(task.reservedUntil):
			task.Phase = worker.Stopped
		case task.Phase == worker.Running && !until.Before(task.finishesAt):
			task.Phase = worker.Finished
			task.Result = "done"
		case task.Phase == worker.Checkpointing && !now.Before(task.checkpointAt):
			task.Phase = worker.Stopped
		case task.Phase == worker.Running && lapsed:
			task.halt(w.leaseExpires)
		}
	}
}

func (w *workerState) report(brief bool) worker.Response {
	response := worker.Response{Epoch: w.epoch, Tasks: make([]worker.Status, 0, len(w.tasks))}
	for _, task := range w.tasks {
		status := task.Status
		if brief {
			status.Spec, status.Submitted = queue.Spec{}, time.Time{}
		}
		response.Tasks = append(response.Tasks, status)
	}
	sort.Slice(response.Tasks, func(i, j int) bool {
		return response.Tasks[i].TaskID.String() < response.Tasks[j].TaskID.String()
	})
	return response
}
