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

// reservationTTL is how long a worker keeps a reservation that is not started.
const reservationTTL = 5 * time.Second

// defaultRun is how long a task runs whose payload names no duration.
const defaultRun = time.Second

// heldTask is a task on a stand-in worker.
type heldTask struct {
	worker.Status
	reservedUntil time.Time
	finishesAt    time.Time
	checkpointAt  time.Time
}

// machine is one stand-in worker.
type machine struct {
	epoch int64
	lease time.Time
	tasks map[worker.TaskID]*heldTask
	down  bool
	bad   bool
	// acked remembers what was acknowledged, so that a repeated order does not run a task again.
	acked map[worker.TaskID]bool
}

// Workers is a set of stand-in workers; it is itself a worker.Link.
//
// A task runs for the duration that its payload names. What time has done to a task is worked out at each call.
type Workers struct {
	mu       sync.Mutex
	now      func() time.Time
	machines map[string]*machine
	starts   []worker.TaskID
}

// NewWorkers returns stand-ins that come into being when first called.
func NewWorkers(now func() time.Time) *Workers {
	return &Workers{now: now, machines: make(map[string]*machine)}
}

// SetDown makes a worker unreachable; what it holds is lost when its lease lapses.
func (f *Workers) SetDown(name string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machine(name).down = down
}

// SetBad makes a worker fail everything that it starts.
func (f *Workers) SetBad(name string, bad bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machine(name).bad = bad
}

// Starts returns every task that was ever started, in order.
func (f *Workers) Starts() []worker.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]worker.TaskID(nil), f.starts...)
}

func (f *Workers) machine(name string) *machine {
	m := f.machines[name]
	if m == nil {
		m = &machine{tasks: make(map[worker.TaskID]*heldTask), acked: make(map[worker.TaskID]bool)}
		f.machines[name] = m
	}
	return m
}

// Sync carries out the orders and returns what the worker holds.
func (f *Workers) Sync(_ context.Context, request worker.Request) (worker.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machine(request.Worker)
	now := f.now()
	if m.down {
		return worker.Response{}, &worker.UnreachableError{Worker: request.Worker, Cause: "stand-in is down"}
	}
	m.age(now)
	if request.Epoch < m.epoch {
		return worker.Response{Epoch: m.epoch}, &worker.StaleError{Worker: request.Worker, Epoch: m.epoch}
	}
	m.epoch = request.Epoch
	m.lease = now.Add(request.Lease.Duration)
	f.obey(m, request, now)
	return m.report(request.Brief), nil
}

func (f *Workers) obey(m *machine, request worker.Request, now time.Time) {
	for _, id := range request.Ack {
		delete(m.tasks, id)
		m.acked[id] = true
	}
	for _, task := range request.Reserve {
		if m.tasks[task.TaskID] == nil && !m.acked[task.TaskID] {
			m.tasks[task.TaskID] = &heldTask{Status: worker.Status{Task: task, Phase: worker.Reserved}, reservedUntil: now.Add(reservationTTL)}
		}
	}
	for _, id := range request.Start {
		if task := m.tasks[id]; task != nil && task.Phase == worker.Reserved {
			f.starts = append(f.starts, id)
			m.start(task, now)
		}
	}
	for _, order := range request.Stop {
		task := m.tasks[order.TaskID]
		if task == nil {
			m.acked[order.TaskID] = true
			continue
		}
		m.stop(task, order.Checkpoint, now)
	}
}

func (m *machine) start(task *heldTask, now time.Time) {
	run, err := time.ParseDuration(task.Spec.Payload)
	if err != nil {
		run = defaultRun
	}
	task.Phase = worker.Running
	task.Started = now
	task.finishesAt = now.Add(max(run-task.Progress.Duration, 0))
	if m.bad {
		task.Phase = worker.Failed
		task.Result = "the worker fails everything"
	}
}

func (m *machine) stop(task *heldTask, checkpoint bool, now time.Time) {
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

// halt stops a running task at the time; what the last periodic checkpoint saved is kept.
func (t *heldTask) halt(at time.Time) {
	ran := at.Sub(t.Started)
	kept := time.Duration(0)
	if every := t.Spec.CheckpointEvery.Duration; every > 0 {
		kept = ran.Truncate(every)
	}
	t.Progress = span.Of(t.Progress.Duration + kept)
	t.Phase = worker.Stopped
}

// age lets time pass: tasks finish, checkpoints complete, reservations and leases lapse.
func (m *machine) age(now time.Time) {
	lapsed := now.After(m.lease)
	for _, task := range m.tasks {
		until := now
		if lapsed {
			until = m.lease
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
			task.halt(m.lease)
		}
	}
}

func (m *machine) report(brief bool) worker.Response {
	response := worker.Response{Epoch: m.epoch, Tasks: make([]worker.Status, 0, len(m.tasks))}
	for _, task := range m.tasks {
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
