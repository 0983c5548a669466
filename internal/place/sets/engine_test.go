package sets_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

const (
	quickQueue = "quick"
	planQueue  = "plan"
	batchQueue = "batch"
)

// site drives an engine as an owner does, with a clock that only moves when told.
type site struct {
	t      testing.TB
	engine *sets.Engine
	now    time.Time
	infos  []sets.WorkerInfo
	// running is what each worker runs, by task; ends number the ends.
	running map[string]map[string]sets.RunningEntry
	ends    map[string]int64
	members map[string]*sets.Member
	// silent workers answer nothing.
	silent map[string]bool
	// progress is how far each task is, in percent.
	progress map[string]float64
	stops    []sets.StopOrder
	notes    []sets.Note
}

func newSite(t testing.TB, racks, perRack int) *site {
	t.Helper()
	s := &site{
		t: t, now: time.Unix(1000, 0), engine: sets.New(sets.DefaultConfig()),
		running: make(map[string]map[string]sets.RunningEntry), ends: make(map[string]int64),
		members: make(map[string]*sets.Member), silent: make(map[string]bool), progress: make(map[string]float64),
	}
	for r := range racks {
		for n := range perRack {
			id := fmt.Sprintf("w%d-%d", r, n)
			s.running[id] = make(map[string]sets.RunningEntry)
			s.infos = append(s.infos, sets.WorkerInfo{
				ID: id, Service: "main", Address: id, DataCentre: fmt.Sprintf("dc%d", r), Rack: fmt.Sprintf("r%d", r), Labels: []string{"a", fmt.Sprintf("r%d", r)},
				Capacity: sets.Room{MilliCores: 32000, MemoryMB: 128000, Accelerators: 8}, Born: 1,
			})
		}
	}
	s.engine.SetPolicy([]sets.Queue{
		{Name: quickQueue, Service: "main", Priority: 0, MaxAttempts: 4, Stretch: 1.5, Target: 250 * time.Millisecond},
		{Name: planQueue, Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3, Target: time.Second},
		{Name: batchQueue, Service: "main", Priority: 2, MaxAttempts: 4, Stretch: 3, Target: 3 * time.Second},
	}, map[string]int{"alpha": 16}, nil)
	s.engine.SetWorkers(s.infos, s.now)
	s.listAll()
	return s
}

// listAll lets each worker that is not silent answer.
func (s *site) listAll() {
	for _, info := range s.infos {
		if !s.silent[info.ID] {
			s.list(info.ID)
		}
	}
}

func (s *site) list(id string, finished ...sets.FinishedEntry) {
	listing := sets.Listing{Born: 1, Finished: finished}
	for _, entry := range s.running[id] {
		listing.Running = append(listing.Running, entry)
	}
	s.engine.Renewed(id, s.now.Add(6*time.Second))
	s.engine.Listed(id, listing, s.now, s.now)
}

// end lets a task end on the worker that runs it.
func (s *site) end(task string, how sets.How) {
	s.t.Helper()
	for id, tasks := range s.running {
		entry, ok := tasks[task]
		if !ok {
			continue
		}
		delete(tasks, task)
		s.ends[id]++
		s.list(id, sets.FinishedEntry{Number: s.ends[id], Task: task, Run: entry.Run, How: how})
		return
	}
	s.t.Fatalf("task %s runs nowhere", task)
}

// step decides, commits and carries out the orders at once.
func (s *site) step() {
	s.engine.Decide(true, s.now)
	for _, u := range s.engine.Updates(math.MaxInt, s.now) {
		s.engine.Committed(u, s.now)
	}
	for _, action := range s.engine.Actions() {
		switch a := action.(type) {
		case sets.StartOrder:
			a.Member.Sent()
			if s.silent[a.Worker] {
				continue
			}
			s.engine.Renewed(a.Worker, s.now.Add(6*time.Second))
			s.running[a.Worker][a.Task] = sets.RunningEntry{Task: a.Task, Run: a.Run}
			s.members[a.Task] = a.Member
			s.engine.StartAnswered(a.Member, sets.Accepted, s.now)
		case sets.StopOrder:
			if !slices.Contains(s.stops, a) {
				s.stops = append(s.stops, a)
			}
			if !s.silent[a.Worker] {
				s.carryOutStop(a)
			}
		case sets.Note:
			s.notes = append(s.notes, a)
		}
	}
}

func (s *site) carryOutStop(a sets.StopOrder) {
	s.engine.StopAnswered(a.Worker, a.Task, a.Run, s.now)
	if entry, ok := s.running[a.Worker][a.Task]; ok && entry.Run == a.Run {
		delete(s.running[a.Worker], a.Task)
		s.ends[a.Worker]++
		s.list(a.Worker, sets.FinishedEntry{Number: s.ends[a.Worker], Task: a.Task, Run: a.Run, How: sets.Stopped, Saved: "saved-" + a.Task})
	}
}

// pass lets time go by in steps in which workers answer.
func (s *site) pass(d time.Duration) {
	const tick = 200 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		for _, tasks := range s.running {
			for name, entry := range tasks {
				entry.Percent = (entry.Percent + 1) % 90
				tasks[name] = entry
			}
		}
		s.listAll()
		s.step()
	}
}

func (s *site) submit(id, queue, workspace string, steps ...work.Step) *sets.Job {
	return s.engine.Load(&work.Spec{Job: id, Queue: queue, Workspace: workspace, Steps: steps}, nil, 0, s.now, s.now)
}

// workersOf lists the workers that run tasks of the job.
func (s *site) workersOf(job string) map[string]int {
	found := make(map[string]int)
	for id, tasks := range s.running {
		for name := range tasks {
			if len(name) > len(job) && name[:len(job)] == job {
				found[id]++
			}
		}
	}
	return found
}

// anyTaskOn returns the first task that runs on the worker.
func (s *site) anyTaskOn(worker string) string {
	first := ""
	for name := range s.running[worker] {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// oldestTask returns the task of the job with the lowest index that runs.
func (s *site) oldestTask(job string) string {
	oldest, least := "", 0
	for _, tasks := range s.running {
		for name := range tasks {
			var index int
			if _, err := fmt.Sscanf(name, job+".0.0.%d", &index); err == nil && (oldest == "" || index < least) {
				oldest, least = name, index
			}
		}
	}
	return oldest
}

func gang(count, accelerators int) work.Step {
	return work.Step{Count: count, MilliCores: 1000, MemoryMB: 1000, Accelerators: accelerators, Estimate: 8 * time.Second, Gang: true}
}

func TestGangStartsWholeAndEndsOnOneEnd(t *testing.T) {
	s := newSite(t, 1, 4)
	job := s.submit("job-a", planQueue, "alpha", gang(4, 8))
	s.step()
	assert.Equal(t, len(s.workersOf("job-a")), 4)
	s.end("job-a.0.0.1", sets.Done)
	s.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
}

func TestAdoptedRunIsGivenUpWhenItsWorkerLapses(t *testing.T) {
	s := newSite(t, 1, 2)
	record := &work.Record{Phase: work.Running, Sets: []work.SetRecord{{Run: 3, On: []string{"w0-0"}}}}
	spec := &work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{gang(1, 1)}}
	s.engine.Load(spec, record, 0, s.now, s.now)
	s.running["w0-0"]["job-a.0.0.0"] = sets.RunningEntry{Task: "job-a.0.0.0", Run: 3}
	s.listAll()
	s.step()
	assert.Equal(t, len(s.stops), 0)
	s.silent["w0-0"] = true
	delete(s.running["w0-0"], "job-a.0.0.0")
	s.engine.SetWorkers(s.infos[1:], s.now)
	s.infos = s.infos[1:]
	s.pass(20 * time.Second)
	assert.DeepEqual(t, s.workersOf("job-a"), map[string]int{"w0-1": 1})
}

func TestInheritedStartThatNeverArrivedIsSentAgain(t *testing.T) {
	s := newSite(t, 1, 2)
	record := &work.Record{Phase: work.Running, Sets: []work.SetRecord{{Run: 1, On: []string{"w0-0", "w0-1"}}}}
	spec := &work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{gang(2, 8)}}
	s.engine.Load(spec, record, 0, s.now, s.now)
	s.running["w0-0"]["job-a.0.0.0"] = sets.RunningEntry{Task: "job-a.0.0.0", Run: 1}
	s.listAll()
	s.step()
	assert.Equal(t, s.running["w0-1"]["job-a.0.0.1"].Run, 1)
}

// The pattern: all instances are killed between two transactions, of which the first had the intent of a run and the second
// would have had the end of the one whose room it took.
func TestInheritedStartIsNotSentToAWorkerWithoutRoom(t *testing.T) {
	s := newSite(t, 1, 1)
	load := func(id string) {
		record := &work.Record{Phase: work.Running, Sets: []work.SetRecord{{Run: 1, On: []string{"w0-0"}}}}
		s.engine.Load(&work.Spec{Job: id, Queue: planQueue, Steps: []work.Step{gang(1, 8)}}, record, 0, s.now, s.now)
	}
	load("job-old")
	load("job-new")
	s.running["w0-0"]["job-new.0.0.0"] = sets.RunningEntry{Task: "job-new.0.0.0", Run: 1}
	s.listAll()
	s.step()
	assert.DeepEqual(t, s.workersOf("job-new"), map[string]int{"w0-0": 1})
	assert.DeepEqual(t, s.workersOf("job-old"), map[string]int{})
}

func TestFailuresAreCountedOnceForEachRun(t *testing.T) {
	s := newSite(t, 1, 4)
	job := s.submit("job-a", planQueue, "alpha", gang(2, 1))
	s.step()
	s.end("job-a.0.0.0", sets.Failed)
	s.end("job-a.0.0.1", sets.Failed)
	s.step()
	assert.Equal(t, job.Record.Phase, work.Running)
	assert.Equal(t, job.Record.Sets[0].Failures, 1)
	s.end("job-a.0.0.0", sets.Failed)
	s.end("job-a.0.0.1", sets.Broken)
	s.step()
	assert.Equal(t, job.Record.Phase, work.Failed)
	assert.Equal(t, len(s.workersOf("job-a")), 0)
}

func TestStepsWaitForThoseBefore(t *testing.T) {
	s := newSite(t, 1, 2)
	after := work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Second, After: []int{0}}
	s.submit("job-a", batchQueue, "alpha", work.Step{Count: 2, MilliCores: 1000, Accelerators: 1, Estimate: time.Second}, after)
	s.step()
	s.end("job-a.0.0.0", sets.Done)
	s.step()
	assert.Equal(t, len(s.workersOf("job-a.0.1")), 0)
	s.end("job-a.0.0.1", sets.Done)
	s.step()
	assert.Equal(t, len(s.workersOf("job-a.0.1")), 1)
}

func TestQuickJobStopsCheckpointedWorkFirst(t *testing.T) {
	s := newSite(t, 1, 2)
	plain := work.Step{Count: 8, MilliCores: 1000, Accelerators: 1, Estimate: 9 * time.Second}
	saves := plain
	saves.Checkpoints = true
	s.submit("plain", batchQueue, "beta", plain)
	s.step()
	s.submit("saves", batchQueue, "beta", saves)
	s.step()
	s.pass(2 * time.Second)
	s.submit("quick", quickQueue, "alpha", gang(1, 8))
	s.step()
	s.step()
	assert.Equal(t, len(s.workersOf("quick")), 1)
	assert.Equal(t, len(s.stops), 8)
	for _, stop := range s.stops {
		assert.Equal(t, stop.Task[:5], "saves")
	}
}

func TestGuaranteedJobStopsQuickWorkBeyondItsGuarantee(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit("over", quickQueue, "beta", gang(2, 8))
	s.step()
	s.submit("mine", quickQueue, "alpha", gang(2, 8))
	s.step()
	s.step()
	assert.Equal(t, len(s.workersOf("mine")), 2)
}

func TestStrangerIsStoppedBeforeItsWorkerIsUsed(t *testing.T) {
	s := newSite(t, 1, 1)
	s.running["w0-0"]["gone.0.0.0"] = sets.RunningEntry{Task: "gone.0.0.0", Run: 1}
	s.listAll()
	s.submit("job-a", planQueue, "alpha", gang(1, 1))
	s.engine.Decide(true, s.now)
	updates := s.engine.Updates(math.MaxInt, s.now)
	assert.Equal(t, len(updates), 1)
	s.engine.Committed(updates[0], s.now)
	s.step()
	assert.Equal(t, len(s.stops), 1)
	s.step()
	assert.Equal(t, len(s.workersOf("job-a")), 1)
}

func TestCancelledJobStopsAndNeverStarts(t *testing.T) {
	s := newSite(t, 1, 2)
	job := s.submit("job-a", planQueue, "alpha", gang(2, 8))
	s.step()
	s.engine.Cancel("job-a", s.now)
	s.step()
	assert.Equal(t, job.Record.Phase, work.Cancelled)
	assert.Equal(t, len(s.workersOf("job-a")), 0)
	s.pass(time.Second)
	assert.Equal(t, len(s.workersOf("job-a")), 0)
}

// The pattern: the store lost its list of workers, and a new owner learns a worker's address only after it was told to stop.
func TestStopIsAskedAgainWhileTheTaskIsListed(t *testing.T) {
	s := newSite(t, 1, 1)
	s.submit("job-a", planQueue, "alpha", gang(1, 1))
	s.step()
	s.silent["w0-0"] = true
	s.engine.Cancel("job-a", s.now)
	s.step()
	assert.Equal(t, len(s.stops), 1)
	assert.Equal(t, len(s.workersOf("job-a")), 1)
	s.silent["w0-0"] = false
	s.pass(time.Second)
	assert.Equal(t, len(s.workersOf("job-a")), 0)
}

// The pattern: an owner takes over, starts a task under a short lease on a worker that an earlier owner's lease still
// covers, and the worker is cut off at once.
func TestShortLeaseDoesNotHideAnEarlierOwnersLongerOne(t *testing.T) {
	s := newSite(t, 2, 1)
	s.submit("job-a", planQueue, "alpha", gang(1, 8))
	s.engine.Decide(true, s.now)
	for _, u := range s.engine.Updates(math.MaxInt, s.now) {
		s.engine.Committed(u, s.now)
	}
	started := s.now
	for _, action := range s.engine.Actions() {
		if order, ok := action.(sets.StartOrder); ok {
			order.Member.Sent()
			s.silent[order.Worker] = true
			s.engine.StartAnswered(order.Member, sets.Accepted, s.now)
		}
	}
	s.pass(sets.DefaultConfig().InheritedLease - time.Second)
	assert.Equal(t, len(s.workersOf("job-a")), 0, "it may still run where it was started at %s", started)
	s.pass(3 * time.Second)
	assert.Equal(t, len(s.workersOf("job-a")), 1)
}
