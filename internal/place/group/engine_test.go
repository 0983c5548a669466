package group_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

const (
	quickQueue = "quick"
	planQueue  = "plan"
	batchQueue = "batch"
)

// cluster drives an engine as an owner does, with a clock that only the test moves.
type cluster struct {
	t      testing.TB
	engine *group.Engine
	now    time.Time
	infos  []group.WorkerInfo
	// running is what each worker runs, by task; lastExit is each worker's last exit number.
	running  map[string]map[string]group.RunningEntry
	lastExit map[string]int64
	members  map[string]*group.Member
	// silent workers answer neither polls nor orders.
	silent map[string]bool
	// progress is each task's progress in percent.
	progress  map[string]float64
	stops     []group.StopOrder
	decisions []group.Decision
}

func newCluster(t testing.TB, racks, perRack int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, now: time.Unix(1000, 0), engine: group.New(group.DefaultConfig()),
		running: make(map[string]map[string]group.RunningEntry), lastExit: make(map[string]int64),
		members: make(map[string]*group.Member), silent: make(map[string]bool), progress: make(map[string]float64),
	}
	for r := range racks {
		for n := range perRack {
			id := fmt.Sprintf("w%d-%d", r, n)
			c.running[id] = make(map[string]group.RunningEntry)
			c.infos = append(c.infos, group.WorkerInfo{
				ID: id, Service: "main", Address: id, DataCentre: fmt.Sprintf("dc%d", r), Rack: fmt.Sprintf("r%d", r), Labels: []string{"a", fmt.Sprintf("r%d", r)},
				Capacity: group.Resources{MilliCores: 32000, MemoryMB: 128000, Accelerators: 8}, Incarnation: 1,
			})
		}
	}
	c.engine.SetPolicy(group.Policy{Queues: []group.Queue{
		{Name: quickQueue, Service: "main", Priority: 0, MaxAttempts: 4, Stretch: 1.5, Target: 250 * time.Millisecond},
		{Name: planQueue, Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3, Target: time.Second},
		{Name: batchQueue, Service: "main", Priority: 2, MaxAttempts: 4, Stretch: 3, Target: 3 * time.Second},
	}, Workspaces: []group.Workspace{{Name: "alpha", Guaranteed: 16}}})
	c.engine.SetWorkers(c.infos, c.now)
	c.pollAll()
	return c
}

// pollAll polls all workers that are not silent.
func (c *cluster) pollAll() {
	for _, info := range c.infos {
		if !c.silent[info.ID] {
			c.poll(info.ID)
		}
	}
}

// incarnationOf returns the incarnation in the worker's entry, 1 for a worker without an entry.
func (c *cluster) incarnationOf(id string) int64 {
	for _, info := range c.infos {
		if info.ID == id {
			return info.Incarnation
		}
	}
	return 1
}

func (c *cluster) poll(id string, finished ...group.ExitEntry) {
	listing := group.Listing{Incarnation: c.incarnationOf(id), Exits: finished}
	for _, entry := range c.running[id] {
		listing.Running = append(listing.Running, entry)
	}
	c.engine.LeaseRenewed(id, c.now.Add(6*time.Second))
	c.engine.ApplyListing(id, listing, c.now, c.now)
}

// exitTask makes a task exit on the worker that runs it.
func (c *cluster) exitTask(task string, status group.ExitStatus) {
	c.t.Helper()
	for id, tasks := range c.running {
		entry, ok := tasks[task]
		if !ok {
			continue
		}
		delete(tasks, task)
		c.lastExit[id]++
		c.poll(id, group.ExitEntry{Number: c.lastExit[id], Task: task, Run: entry.Run, Status: status})
		return
	}
	c.t.Fatalf("task %s runs on no worker", task)
}

// step takes one decision, commits its updates and carries out its orders at once.
func (c *cluster) step() {
	c.engine.Decide(true, c.now)
	for _, u := range c.engine.Updates(math.MaxInt, c.now) {
		c.engine.Committed(u, c.now)
	}
	for _, action := range c.engine.Actions() {
		switch a := action.(type) {
		case group.StartOrder:
			a.Member.MarkSent()
			if c.silent[a.Worker] {
				continue
			}
			c.engine.LeaseRenewed(a.Worker, c.now.Add(6*time.Second))
			c.running[a.Worker][a.Task] = group.RunningEntry{Task: a.Task, Run: a.Run}
			c.members[a.Task] = a.Member
			c.engine.ApplyStartResult(a.Member, group.Accepted, c.now)
		case group.StopOrder:
			if !slices.Contains(c.stops, a) {
				c.stops = append(c.stops, a)
			}
			if !c.silent[a.Worker] {
				c.carryOutStop(a)
			}
		case group.Decision:
			c.decisions = append(c.decisions, a)
		}
	}
}

// lastStartOrder takes one decision, commits its updates and returns the last start order, which it does not carry out.
func (c *cluster) lastStartOrder() (order group.StartOrder) {
	c.engine.Decide(true, c.now)
	for _, u := range c.engine.Updates(math.MaxInt, c.now) {
		c.engine.Committed(u, c.now)
	}
	for _, action := range c.engine.Actions() {
		if a, ok := action.(group.StartOrder); ok {
			order = a
		}
	}
	return order
}

func (c *cluster) carryOutStop(a group.StopOrder) {
	c.engine.StopAcknowledged(a.Worker, c.incarnationOf(a.Worker), a.Task, a.Run, c.now)
	if entry, ok := c.running[a.Worker][a.Task]; ok && entry.Run == a.Run {
		delete(c.running[a.Worker], a.Task)
		c.lastExit[a.Worker]++
		c.poll(a.Worker, group.ExitEntry{Number: c.lastExit[a.Worker], Task: a.Task, Run: a.Run, Status: group.Stopped, Checkpoint: "saved-" + a.Task})
	}
}

// advanceTime moves the clock in steps of 200 ms, each with progress, polls and a decision.
func (c *cluster) advanceTime(d time.Duration) {
	const interval = 200 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(interval)
		for _, tasks := range c.running {
			for name, entry := range tasks {
				entry.Percent = (entry.Percent + 1) % 90
				tasks[name] = entry
			}
		}
		c.pollAll()
		c.step()
	}
}

func (c *cluster) submit(id, queue, workspace string, steps ...work.Step) *group.Job {
	return c.engine.Load(&work.Spec{Job: id, Queue: queue, Workspace: workspace, Steps: steps}, nil, 0, c.now, c.now)
}

// workersOf returns how many tasks of the job each worker runs.
func (c *cluster) workersOf(job string) map[string]int {
	found := make(map[string]int)
	for id, tasks := range c.running {
		for name := range tasks {
			if len(name) > len(job) && name[:len(job)] == job {
				found[id]++
			}
		}
	}
	return found
}

// anyTaskOn returns the first task by name that runs on the worker, or an empty string.
func (c *cluster) anyTaskOn(worker string) string {
	first := ""
	for name := range c.running[worker] {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// oldestTask returns the running task of the job with the lowest index, or an empty string.
func (c *cluster) oldestTask(job string) string {
	oldest, smallest := "", 0
	for _, tasks := range c.running {
		for name := range tasks {
			var index int
			if _, err := fmt.Sscanf(name, job+".0.0.%d", &index); err == nil && (oldest == "" || index < smallest) {
				oldest, smallest = name, index
			}
		}
	}
	return oldest
}

func gang(count, accelerators int) work.Step {
	return work.Step{Count: count, MilliCores: 1000, MemoryMB: 1000, Accelerators: accelerators, Estimate: 8 * time.Second, Gang: true}
}

func TestGangStartsWholeAndEndsOnOneEnd(t *testing.T) {
	c := newCluster(t, 1, 4)
	job := c.submit("job-a", planQueue, "alpha", gang(4, 8))
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 4)
	c.exitTask("job-a.0.0.1", group.Done)
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
}

func TestAdoptedRunIsGivenUpWhenItsWorkerLapses(t *testing.T) {
	c := newCluster(t, 1, 2)
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 3, Workers: []string{"w0-0"}}}}
	spec := &work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{gang(1, 1)}}
	c.engine.Load(spec, record, 0, c.now, c.now)
	c.running["w0-0"]["job-a.0.0.0"] = group.RunningEntry{Task: "job-a.0.0.0", Run: 3}
	c.pollAll()
	c.step()
	assert.Equal(t, len(c.stops), 0)
	c.silent["w0-0"] = true
	delete(c.running["w0-0"], "job-a.0.0.0")
	c.engine.SetWorkers(c.infos[1:], c.now)
	c.infos = c.infos[1:]
	c.advanceTime(20 * time.Second)
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{"w0-1": 1})
}

func TestInheritedStartThatNeverArrivedIsSentAgain(t *testing.T) {
	c := newCluster(t, 1, 2)
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Workers: []string{"w0-0", "w0-1"}}}}
	spec := &work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{gang(2, 8)}}
	c.engine.Load(spec, record, 0, c.now, c.now)
	c.running["w0-0"]["job-a.0.0.0"] = group.RunningEntry{Task: "job-a.0.0.0", Run: 1}
	c.pollAll()
	c.step()
	assert.Equal(t, c.running["w0-1"]["job-a.0.0.1"].Run, 1)
}

// Guards against overcommitting a worker after all instances were killed between two transactions: the first has the intent
// of a run, and the second would have had the exit of the run whose room it takes.
func TestInheritedStartIsNotSentToAWorkerWithoutRoom(t *testing.T) {
	c := newCluster(t, 1, 1)
	load := func(id string) {
		record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Workers: []string{"w0-0"}}}}
		c.engine.Load(&work.Spec{Job: id, Queue: planQueue, Steps: []work.Step{gang(1, 8)}}, record, 0, c.now, c.now)
	}
	load("job-old")
	load("job-new")
	c.running["w0-0"]["job-new.0.0.0"] = group.RunningEntry{Task: "job-new.0.0.0", Run: 1}
	c.pollAll()
	c.step()
	assert.DeepEqual(t, c.workersOf("job-new"), map[string]int{"w0-0": 1})
	assert.DeepEqual(t, c.workersOf("job-old"), map[string]int{})
}

func TestFailuresAreCountedOnceForEachRun(t *testing.T) {
	c := newCluster(t, 1, 4)
	job := c.submit("job-a", planQueue, "alpha", gang(2, 1))
	c.step()
	c.exitTask("job-a.0.0.0", group.Failed)
	c.exitTask("job-a.0.0.1", group.Failed)
	c.step()
	assert.Equal(t, job.Record.Phase, work.Running)
	assert.Equal(t, job.Record.Groups[0].Failures, 1)
	c.exitTask("job-a.0.0.0", group.Failed)
	c.exitTask("job-a.0.0.1", group.Broken)
	c.step()
	assert.Equal(t, job.Record.Phase, work.Failed)
	assert.Equal(t, len(c.workersOf("job-a")), 0)
}

func TestStepsWaitForThoseBefore(t *testing.T) {
	c := newCluster(t, 1, 2)
	after := work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Second, After: []int{0}}
	c.submit("job-a", batchQueue, "alpha", work.Step{Count: 2, MilliCores: 1000, Accelerators: 1, Estimate: time.Second}, after)
	c.step()
	c.exitTask("job-a.0.0.0", group.Done)
	c.step()
	assert.Equal(t, len(c.workersOf("job-a.0.1")), 0)
	c.exitTask("job-a.0.0.1", group.Done)
	c.step()
	assert.Equal(t, len(c.workersOf("job-a.0.1")), 1)
}

func TestQuickJobPreemptsCheckpointedWorkFirst(t *testing.T) {
	c := newCluster(t, 1, 2)
	plain := work.Step{Count: 8, MilliCores: 1000, Accelerators: 1, Estimate: 9 * time.Second}
	saves := plain
	saves.Checkpoints = true
	c.submit("plain", batchQueue, "beta", plain)
	c.step()
	c.submit("saves", batchQueue, "beta", saves)
	c.step()
	c.advanceTime(2 * time.Second)
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.step()
	c.step()
	assert.Equal(t, len(c.workersOf("quick")), 1)
	assert.Equal(t, len(c.stops), 8)
	for _, stop := range c.stops {
		assert.Equal(t, stop.Task[:5], "saves")
	}
}

func TestGuaranteedJobStopsQuickWorkBeyondItsGuarantee(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("over", quickQueue, "beta", gang(2, 8))
	c.step()
	c.submit("mine", quickQueue, "alpha", gang(2, 8))
	c.step()
	c.step()
	assert.Equal(t, len(c.workersOf("mine")), 2)
}

func TestStrangerIsStoppedBeforeItsWorkerIsUsed(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.running["w0-0"]["gone.0.0.0"] = group.RunningEntry{Task: "gone.0.0.0", Run: 1}
	c.pollAll()
	c.submit("job-a", planQueue, "alpha", gang(1, 1))
	c.engine.Decide(true, c.now)
	updates := c.engine.Updates(math.MaxInt, c.now)
	assert.Equal(t, len(updates), 1)
	c.engine.Committed(updates[0], c.now)
	c.step()
	assert.Equal(t, len(c.stops), 1)
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 1)
}

func TestCancelledJobStopsAndNeverStarts(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.submit("job-a", planQueue, "alpha", gang(2, 8))
	c.step()
	c.engine.Cancel("job-a", c.now)
	c.step()
	assert.Equal(t, job.Record.Phase, work.Cancelled)
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("job-a")), 0)
}

// Guards against a stop order that is lost and never resent: the store lost the list of workers, and a new owner learns a
// worker's address only after the stop was ordered.
func TestStopIsAskedAgainWhileTheTaskIsListed(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "alpha", gang(1, 1))
	c.step()
	c.silent["w0-0"] = true
	c.engine.Cancel("job-a", c.now)
	c.step()
	assert.Equal(t, len(c.stops), 1)
	assert.Equal(t, len(c.workersOf("job-a")), 1)
	c.silent["w0-0"] = false
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("job-a")), 0)
}

// Guards against a second start while the first may still run: a new owner starts a task under a short lease on a worker
// whose lease from an earlier owner lasts longer, and the worker becomes unreachable at once.
func TestShortLeaseDoesNotHideAnEarlierOwnersLongerOne(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.submit("job-a", planQueue, "alpha", gang(1, 8))
	c.engine.Decide(true, c.now)
	for _, u := range c.engine.Updates(math.MaxInt, c.now) {
		c.engine.Committed(u, c.now)
	}
	started := c.now
	for _, action := range c.engine.Actions() {
		if order, ok := action.(group.StartOrder); ok {
			order.Member.MarkSent()
			c.silent[order.Worker] = true
			c.engine.ApplyStartResult(order.Member, group.Accepted, c.now)
		}
	}
	c.advanceTime(group.DefaultConfig().InheritedLease - time.Second)
	assert.Equal(t, len(c.workersOf("job-a")), 0, "it may still run where it was started at %s", started)
	c.advanceTime(3 * time.Second)
	assert.Equal(t, len(c.workersOf("job-a")), 1)
}
