package group_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// faultyFleet drives an engine as an owner does, among faulty workers and with a store that loses and rejects commits.
type faultyFleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	engine  *group.Engine
	workers []*faultyWorker
	// specs and records are what the store has.
	specs map[string]*work.Spec
	// submitted is the number of jobs so far.
	submitted int
	records   map[string][]byte
	starts    map[*group.Member]*faultyStart
	stops     map[group.StopOrder]bool
	// standing is since when a job stands though it has room.
	standing map[string]time.Time
	// calm is true once no faults happen any more, judged once leases that were held have expired as well, and closed once no more jobs
	// are submitted.
	calm   bool
	judged bool
	closed bool
	// log has the last decisions of the engine.
	log []string
}

// faultyStart is a start order on its way.
type faultyStart struct {
	order          group.StartOrder
	mayHaveArrived bool
}

func newFaultyFleet(t *testing.T, seed uint64) *faultyFleet {
	t.Helper()
	f := &faultyFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		specs: make(map[string]*work.Spec), records: make(map[string][]byte), standing: make(map[string]time.Time),
	}
	for n := range 2 + f.random.IntN(15) {
		f.workers = append(f.workers, &faultyWorker{
			info: group.WorkerInfo{
				ID: fmt.Sprintf("w%02d", n), Service: "main", Address: fmt.Sprintf("w%02d", n), DataCentre: fmt.Sprintf("dc%d", n/8), Rack: fmt.Sprintf("r%d", n/4),
				Capacity: group.Resources{MilliCores: 32000, MemoryMB: 128000, Accelerators: 8}, Incarnation: 1, Labels: []string{fmt.Sprintf("r%d", n/4)},
			},
			listed: true, up: true, running: make(map[string]*faultyTask), refused: make(map[string]int),
		})
	}
	f.elect()
	return f
}

// chance reports true with the probability.
func (f *faultyFleet) chance(p float64) bool { return f.random.Float64() < p }

// elect replaces the owner by one that loads what the store has.
func (f *faultyFleet) elect() {
	cfg := group.DefaultConfig()
	cfg.InheritedLease = worstWorkerLease
	f.engine = group.New(cfg)
	f.starts, f.stops = make(map[*group.Member]*faultyStart), make(map[group.StopOrder]bool)
	f.engine.SetPolicy(group.Policy{Queues: []group.Queue{
		{Name: quickQueue, Service: "main", Priority: 0, MaxAttempts: 4, Stretch: 1.5, Target: 250 * time.Millisecond},
		{Name: batchQueue, Service: "main", Priority: 2, MaxAttempts: 4, Stretch: 3, Target: 3 * time.Second},
	}, Workspaces: []group.Workspace{{Name: "alpha", Guaranteed: 16}}})
	f.list()
	for _, w := range f.workers {
		w.known, w.answeredAt = 0, f.now
	}
	ids := make([]string, 0, len(f.specs))
	for id := range f.specs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		var record *work.Record
		if data := f.records[id]; data != nil {
			var err error
			record, err = work.DecodeRecord(data)
			assert.NilError(f.t, err)
		}
		f.engine.Load(f.specs[id], record, 0, f.now, f.now)
	}
}

func (f *faultyFleet) list() {
	var infos []group.WorkerInfo
	for _, w := range f.workers {
		if w.listed {
			infos = append(infos, w.info)
		}
	}
	f.engine.SetWorkers(infos, f.now)
}

// poll polls the worker; a failed poll may have renewed its lease.
func (f *faultyFleet) poll(w *faultyWorker) {
	sent := f.now
	w.polledAt = sent
	known := f.engine.Worker(w.info.ID)
	if known == nil {
		return
	}
	acknowledged := int64(0)
	if w.known == known.Incarnation {
		acknowledged = known.DurableExit()
	}
	renew := f.now.Sub(w.answeredAt) < renewWithin
	if renew {
		f.engine.LeaseRenewed(w.info.ID, f.now.Add(worstWorkerLease))
	}
	if w.silent || !w.up {
		w.known = 0
		f.engine.PollFailed(w.info.ID, sent, 0, f.now)
		return
	}
	if renew {
		w.leaseEnds = f.now.Add(workerLease)
	}
	if w.known != w.info.Incarnation {
		acknowledged = 0
	}
	list := w.listing(acknowledged)
	if w.lossy && f.chance(0.5) {
		w.known = 0
		f.engine.PollFailed(w.info.ID, sent, 0, f.now)
		return
	}
	f.engine.ApplyListing(w.info.ID, list, sent, f.now)
	w.known, w.answeredAt = w.info.Incarnation, sent
}

// sendStarts sends each start order that is wanted once.
func (f *faultyFleet) sendStarts() {
	members := make([]*group.Member, 0, len(f.starts))
	for m := range f.starts {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *group.Member) int { return compareStarts(f.starts[a].order, f.starts[b].order) })
	for _, m := range members {
		if f.sendStart(f.starts[m]) {
			delete(f.starts, m)
		}
	}
}

func compareStarts(a, b group.StartOrder) int {
	if a.Task != b.Task {
		if a.Task < b.Task {
			return -1
		}
		return 1
	}
	return a.Run - b.Run
}

// sendStart sends the order and reports whether it needs no repetition.
func (f *faultyFleet) sendStart(start *faultyStart) bool {
	m, known := start.order.Member, f.engine.Worker(start.order.Worker)
	switch {
	case !m.StartWanted():
		return true
	case known == nil:
		return false
	case f.engine.Closed(known):
		f.engine.WithdrawStart(m, f.now)
		return true
	}
	w := f.worker(start.order.Worker)
	if !m.StartFits() || w.known == 0 || w.known != known.Incarnation {
		return false
	}
	f.engine.LeaseRenewed(known.ID, f.now.Add(worstWorkerLease))
	m.MarkSent()
	if w.silent || !w.up {
		f.engine.SuspectDataCentre(known.ID, f.now)
		if start.mayHaveArrived {
			return false
		}
		f.engine.ApplyStartResult(m, group.Unreached, f.now)
		return true
	}
	result := f.execute(w, start.order)
	if w.lossy && f.chance(0.5) {
		start.mayHaveArrived = true
		m.MarkUnanswered()
		f.engine.SuspectDataCentre(known.ID, f.now)
		return false
	}
	if result != group.Accepted && start.mayHaveArrived {
		result = group.Unconfirmed
	}
	f.engine.ApplyStartResult(m, result, f.now)
	return true
}

// execute starts the task on the worker, and checks that it has room and that the task runs nowhere else.
func (f *faultyFleet) execute(w *faultyWorker, order group.StartOrder) group.StartResult {
	f.t.Helper()
	if t := w.running[order.Task]; t != nil && t.entry.Run == order.Run {
		return group.Accepted
	}
	if w.refused[order.Task] >= order.Run {
		return group.Outdated
	}
	for _, other := range f.workers {
		assert.Assert(f.t, other.running[order.Task] == nil, "TWICE: %s run %d starts on %s and runs on %s", order.Task, order.Run, w.info.ID, other.info.ID)
	}
	job, step := f.stepOf(order.Task)
	left := w.info.Capacity.Sub(w.used())
	need := needOf(step)
	assert.Assert(f.t, need.Count(left, 1) == 1, "LIMIT: %s starts on %s", order.Task, w.info.ID)
	w.leaseEnds = f.now.Add(workerLease)
	w.running[order.Task] = &faultyTask{
		entry: group.RunningEntry{Task: order.Task, Run: order.Run}, step: step, job: job, began: f.now, failing: w.failing,
	}
	return group.Accepted
}

func (f *faultyFleet) worker(id string) *faultyWorker {
	return f.workers[slices.IndexFunc(f.workers, func(w *faultyWorker) bool { return w.info.ID == id })]
}

// stepOf returns the job and the step of a task.
func (f *faultyFleet) stepOf(task string) (string, *work.Step) {
	var job, occurrence, step, index int
	_, err := fmt.Sscanf(task, "job-%d.%d.%d.%d", &job, &occurrence, &step, &index)
	assert.NilError(f.t, err)
	id := fmt.Sprintf("job-%d", job)
	return id, &f.specs[id].Steps[step]
}

// sendStops sends each stop order that is wanted once.
func (f *faultyFleet) sendStops() {
	stops := make([]group.StopOrder, 0, len(f.stops))
	for stop := range f.stops {
		stops = append(stops, stop)
	}
	slices.SortFunc(stops, func(a, b group.StopOrder) int {
		return compareStarts(group.StartOrder{Task: a.Task, Run: a.Run}, group.StartOrder{Task: b.Task, Run: b.Run})
	})
	for _, stop := range stops {
		known, w := f.engine.Worker(stop.Worker), f.worker(stop.Worker)
		if known == nil || !known.NeedsStop(stop.Task, stop.Run) {
			delete(f.stops, stop)
			continue
		}
		if w.silent || !w.up {
			continue
		}
		w.refused[stop.Task] = max(w.refused[stop.Task], stop.Run)
		if t := w.running[stop.Task]; t != nil && t.entry.Run == stop.Run {
			w.exit(stop.Task, group.Stopped)
		}
		if w.lossy && f.chance(0.5) {
			continue
		}
		if f.engine.StopAcknowledged(stop.Worker, known.Incarnation, stop.Task, stop.Run, f.now) {
			delete(f.stops, stop)
		}
	}
}

// decide takes one decision, and makes its changes durable unless the store fails.
func (f *faultyFleet) decide() {
	f.engine.Decide(true, f.now)
	for _, u := range f.engine.Updates(math.MaxInt, f.now) {
		switch {
		case !f.calm && f.chance(0.1):
			f.engine.Uncommitted(u)
		case !f.calm && f.chance(0.05):
			f.engine.Rejected(u, f.now)
		case u.Delete:
			delete(f.specs, u.Job)
			delete(f.records, u.Job)
			f.engine.Committed(u, f.now)
		default:
			data, err := u.Record.Encode()
			assert.NilError(f.t, err)
			f.records[u.Job] = data
			f.engine.Committed(u, f.now)
		}
	}
	for _, action := range f.engine.Actions() {
		switch a := action.(type) {
		case group.StartOrder:
			f.starts[a.Member] = &faultyStart{order: a}
		case group.StopOrder:
			f.stops[a] = true
		case group.Decision:
			f.log = append(f.log, fmt.Sprintf("%s %s job=%s task=%s run=%d worker=%s cause=%s %s", f.now.Format("05.0"), a.Kind, a.Job, a.Task, a.Run, a.Worker, a.Cause, a.Text))
		}
	}
}
