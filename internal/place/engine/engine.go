package engine

import (
	"math/rand/v2"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/evict"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// drainState is the deadline by which a drained data centre must be empty.
type drainState struct {
	deadline time.Time
	active   bool
}

// workerState is the failure history of a worker.
type workerState struct {
	// failedJobs holds the distinct jobs that failed on the worker since a task last succeeded there.
	failedJobs []string
	// probeAt is when a quarantined worker is used again.
	probeAt time.Time
	probes  int
}

// Engine holds the scheduling state of a set of data centres; it is not safe for concurrent use.
type Engine struct {
	Fleet     *fleet.Fleet
	Guard     *guard.Guard
	policy    Policy
	estimator *queue.Estimator
	rng       *rand.Rand

	jobs       map[string]*queue.Job
	waiting    []*queue.Job
	openJobs   map[string][]*queue.Job
	onWorker   [][]*queue.Job
	requesters map[string][]*queue.Job
	health     []workerState
	drains     []drainState
	centres    map[string][]int
	actions    []Action
	scratch    evict.Scratch
}

// Config holds the fleet, the workspaces, the policy and the random seed of an engine.
type Config struct {
	DataCentres []fleet.DataCentreSpec
	Workspaces  []guard.Workspace
	Policy      Policy
	Seed        uint64
}

// New returns an engine with an empty queue, or an error if the fleet is invalid or the guarantees do not fit.
func New(cfg Config) (*Engine, error) {
	f, err := fleet.New(cfg.DataCentres)
	if err != nil {
		return nil, err
	}
	workspaces := cfg.Workspaces
	if !cfg.Policy.Guarantees {
		workspaces = withoutGuarantees(workspaces)
	}
	g, err := guard.New(f, workspaces, cfg.Seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		Fleet: f, Guard: g, policy: cfg.Policy,
		estimator: queue.NewEstimator(), rng: rand.New(rand.NewPCG(cfg.Seed, 2)),
		jobs: make(map[string]*queue.Job), openJobs: make(map[string][]*queue.Job),
		onWorker: make([][]*queue.Job, len(f.Workers)), requesters: make(map[string][]*queue.Job),
		health: make([]workerState, len(f.Workers)), drains: make([]drainState, len(f.DataCentres)),
		centres: make(map[string][]int),
	}
	for _, ws := range cfg.Workspaces {
		if e.centres[ws.Name], err = guard.Centres(f, ws); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func withoutGuarantees(workspaces []guard.Workspace) []guard.Workspace {
	stripped := make([]guard.Workspace, len(workspaces))
	for i, ws := range workspaces {
		stripped[i] = guard.Workspace{Name: ws.Name, DataCentres: ws.DataCentres}
	}
	return stripped
}

// Job returns the state of a job, or nil if it is unknown.
func (e *Engine) Job(id string) *queue.Job { return e.jobs[id] }

// Waiting returns the jobs that hold no capacity; the caller must not modify the slice.
func (e *Engine) Waiting() []*queue.Job { return e.waiting }

// EachJob calls visit for every known job, in no particular order.
func (e *Engine) EachJob(visit func(*queue.Job)) {
	for _, j := range e.jobs {
		visit(j)
	}
}

// Forget removes a job that has ended; it does nothing for any other job.
func (e *Engine) Forget(id string) {
	if j := e.jobs[id]; j != nil && j.Phase == queue.Ended {
		delete(e.jobs, id)
	}
}

// emit queues an action for the caller.
func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// takeActions returns and clears the queued actions.
func (e *Engine) takeActions() []Action {
	out := e.actions
	e.actions = nil
	return out
}

// occupy allocates capacity on the workers to the job's members.
func (e *Engine) occupy(j *queue.Job, workers []int) {
	j.Workers = workers
	for _, w := range workers {
		worker := &e.Fleet.Workers[w]
		worker.Free = worker.Free.Sub(j.Resources)
	}
	e.countPin(j)
	e.eachWorker(j, func(w int) { e.onWorker[w] = append(e.onWorker[w], j) })
}

// vacate frees the capacity that is allocated to the job.
func (e *Engine) vacate(j *queue.Job) {
	e.uncountPin(j)
	for _, w := range j.Workers {
		worker := &e.Fleet.Workers[w]
		worker.Free = worker.Free.Add(j.Resources)
	}
	e.eachWorker(j, func(w int) { e.onWorker[w] = remove(e.onWorker[w], j) })
	j.Workers = nil
}

// countPin adds the job's capacity to the pinned capacity of its workers if it can't be stopped and does not run in a home.
func (e *Engine) countPin(j *queue.Job) {
	if j.PinCounted || !j.Pinned() || e.inHome(j) {
		return
	}
	j.PinCounted = true
	e.pin(j, 1)
}

func (e *Engine) uncountPin(j *queue.Job) {
	if j.PinCounted {
		j.PinCounted = false
		e.pin(j, -1)
	}
}

// repairHomes renews the homes after a change of the fleet and pins the jobs that no longer run in a home because of it.
func (e *Engine) repairHomes() {
	e.Guard.Repair()
	for _, jobs := range e.openJobs {
		for _, j := range jobs {
			if j.HoldsCapacity() {
				e.countPin(j)
			}
		}
	}
}

func (e *Engine) inHome(j *queue.Job) bool { return j.Slot >= 0 && e.Guard.Slots[j.Slot].InHome }

func (e *Engine) pin(j *queue.Job, sign int) {
	for _, w := range j.Workers {
		worker := &e.Fleet.Workers[w]
		worker.Pinned = worker.Pinned.Add(j.Resources.Times(sign))
	}
}

// eachWorker calls visit once for each distinct worker of the job.
func (e *Engine) eachWorker(j *queue.Job, visit func(int)) {
	for i, w := range j.Workers {
		if firstIndex(j.Workers, w) == i {
			visit(w)
		}
	}
}

func firstIndex(workers []int, w int) int {
	for i, x := range workers {
		if x == w {
			return i
		}
	}
	return -1
}

func remove(jobs []*queue.Job, j *queue.Job) []*queue.Job {
	for i, x := range jobs {
		if x == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// fitsEmpty reports whether one of the data centres could hold the shape if nothing ran there.
func (e *Engine) fitsEmpty(s shape.Shape, centres []int) bool {
	return e.Fleet.Find(centres, s, e.Fleet.EmptyView(), false) != nil
}

// JobsOn returns the names of the jobs that hold capacity on the worker with index w.
func (e *Engine) JobsOn(w int) []string {
	names := make([]string, 0, len(e.onWorker[w]))
	for _, j := range e.onWorker[w] {
		names = append(names, j.Job)
	}
	return names
}

// CentresOf returns the indexes of the data centres that the workspace may use.
func (e *Engine) CentresOf(workspace string) []int { return e.centres[workspace] }
