package group_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// workerOf returns the worker that runs the task, or an empty string.
func (c *cluster) workerOf(task string) string {
	for id, tasks := range c.running {
		if _, ok := tasks[task]; ok {
			return id
		}
	}
	return ""
}

// crash restarts the worker under its ID: its connections break, and a second later it is back with nothing running.
func (c *cluster) crash(id string) {
	c.engine.PollFailed(id, c.now.Add(time.Millisecond), 0, c.now.Add(time.Millisecond))
	c.restart(id, c.incarnationOf(id)+1)
	c.silent[id] = true
	c.advanceTime(time.Second)
	c.engine.SetWorkers(c.infos, c.now)
	c.silent[id] = false
	c.advanceTime(time.Second)
}

// Guards against BUDGET: a task that crashes each worker that starts it is started again and again.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.assertGivenUp(func(worker string, _ int) { c.crash(worker) })
	assert.Equal(t, len(c.workersOf("deadly")), 0)
}

// assertGivenUp runs a task under which each worker crashes, and checks that it is given up before its sixth start.
func (c *cluster) assertGivenUp(crash func(worker string, start int)) {
	c.t.Helper()
	job := c.submit("deadly", batchQueue, "beta", work.Step{Count: 2, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute})
	c.step()
	starts := 0
	for range 10 {
		worker := c.workerOf("deadly.0.0.0")
		if worker == "" {
			break
		}
		starts++
		crash(worker, starts)
	}
	assert.Equal(c.t, job.Record.Phase, work.Failed)
	assert.Assert(c.t, starts >= 2 && starts <= 5, "%d starts", starts)
}

// Guards against BUDGET with the owner lost between two crashes: the count is part of the job's record.
func TestCrashesUnderATaskOutliveTheOwner(t *testing.T) {
	spec := &work.Spec{Job: "deadly", Queue: batchQueue, Workspace: "beta", Steps: []work.Step{{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute}}}
	var record *work.Record
	starts := 0
	for range 10 {
		c := newCluster(t, 2, 3)
		job := c.engine.Load(spec, record, 0, c.now, c.now)
		c.step()
		c.advanceTime(time.Second)
		if worker := c.workerOf("deadly.0.0.0"); worker != "" {
			starts++
			c.crash(worker)
		}
		data, err := job.Record.Encode()
		assert.NilError(t, err)
		record, err = work.DecodeRecord(data)
		assert.NilError(t, err)
		record.Groups[0].Workers = nil
		if record.Phase == work.Failed {
			break
		}
	}
	assert.Equal(t, record.Phase, work.Failed)
	assert.Assert(t, starts >= 2 && starts <= 5, "%d starts", starts)
}

// Guards against jobs that are shown as failed without cause: the tasks beside a deadly one are on each worker that it crashes,
// but began long before each crash, so they run on.
func TestNeighboursOfADeadlyTaskAreNotGivenUp(t *testing.T) {
	c := newCluster(t, 1, 1)
	neighbour := c.submit("sound", batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute})
	c.step()
	for n := range 2 {
		c.advanceTime(5 * time.Second)
		deadly := c.submit("deadly-"+string(rune('a'+n)), batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute})
		c.step()
		assert.Equal(t, len(c.running["w0-0"]), 2)
		c.crash("w0-0")
		c.engine.Cancel(deadly.ID(), c.now)
		c.advanceTime(time.Second)
	}
	assert.Equal(t, neighbour.Record.Phase, work.Running)
	assert.Equal(t, len(c.workersOf("sound")), 1)
}

// Guards against jobs that are shown as failed without cause: a lease that expires is no crash, as a worker that is cut off
// runs on.
func TestLapsedLeasesAreNoCrashes(t *testing.T) {
	c := newCluster(t, 4, 2)
	job := c.submit("far", batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute})
	c.step()
	for range 6 {
		worker := c.workerOf("far.0.0.0")
		assert.Assert(t, worker != "")
		c.silent[worker] = true
		delete(c.running[worker], "far.0.0.0")
		c.advanceTime(20 * time.Second)
		c.silent[worker] = false
		c.advanceTime(time.Second)
	}
	assert.Equal(t, job.Record.Phase, work.Running)
	var lapsed int
	for _, decision := range c.decisions {
		if decision.Kind == group.WorkerLapsed {
			lapsed++
		}
	}
	assert.Equal(t, lapsed, 6)
}

// replace lets the worker crash and its machine come back as a worker with another ID at the same address.
func (c *cluster) replace(id, as string) {
	c.silent[id] = true
	c.engine.PollFailed(id, c.now.Add(time.Millisecond), 0, c.now.Add(time.Millisecond))
	c.now = c.now.Add(time.Second)
	delete(c.running, id)
	info := c.info(id)
	info.ID, info.Incarnation = as, info.Incarnation+1
	c.infos = append(c.without(id), info)
	c.running[as] = make(map[string]group.RunningEntry)
	c.engine.SetWorkers(c.infos, c.now)
	c.engine.WorkerReplaced(id, c.now, c.now)
}

// info returns the worker's entry.
func (c *cluster) info(id string) group.WorkerInfo {
	return c.infos[slices.IndexFunc(c.infos, func(info group.WorkerInfo) bool { return info.ID == id })]
}

// Guards against BUDGET: the machines that a task crashes come back as workers with other IDs at the same addresses.
func TestTaskThatCrashesWorkersThatComeBackUnderOtherIDsIsGivenUp(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.assertGivenUp(func(worker string, start int) {
		c.replace(worker, fmt.Sprintf("again-%d", start))
		c.advanceTime(time.Second)
	})
}

// Guards against jobs that are shown as failed without cause: a worker that shut down as planned has not crashed.
func TestWorkersThatLeaveAreNoCrashes(t *testing.T) {
	c := newCluster(t, 2, 3)
	job := c.submit("sound", batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: 2 * time.Second})
	c.step()
	for n := range 6 {
		worker := c.workerOf("sound.0.0.0")
		assert.Assert(t, worker != "")
		for i := range c.infos {
			c.infos[i].Draining = c.infos[i].ID == worker
		}
		c.engine.SetWorkers(c.infos, c.now)
		c.poll(worker)
		for i := range c.infos {
			c.infos[i].Draining = false
		}
		c.replace(worker, fmt.Sprintf("again-%d", n))
		c.advanceTime(time.Second)
	}
	assert.Equal(t, job.Record.Phase, work.Running)
}

// Guards against jobs that are shown as failed without cause: workers crash under different tasks of a gang, under each once.
func TestCrashesUnderDifferentTasksOfAGangDoNotAddUp(t *testing.T) {
	c := newCluster(t, 2, 3)
	job := c.submit("gang", batchQueue, "beta", gang(3, 8))
	c.step()
	for n := range 3 {
		c.replace(c.workerOf(fmt.Sprintf("gang.0.0.%d", n)), fmt.Sprintf("again-%d", n))
		c.advanceTime(400 * time.Millisecond)
		assert.Equal(t, len(c.workersOf("gang")), 3)
	}
	assert.Equal(t, job.Record.Phase, work.Running)
}

// Guards against jobs that are shown as failed without cause: all tasks of a crashed worker begin again at the same moment, and
// if they were placed together, the deadly one among them would make suspects of the others again.
func TestSuspectsOfACrashAreTriedOnWorkersOfTheirOwn(t *testing.T) {
	c := newCluster(t, 2, 4)
	step := work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute}
	deadly := c.submit("deadly", batchQueue, "beta", step)
	sound := []*group.Job{c.submit("sound-a", batchQueue, "beta", step), c.submit("sound-b", batchQueue, "beta", step)}
	c.step()
	first := c.workerOf("deadly.0.0.0")
	assert.Equal(t, len(c.running[first]), 3)
	for n := range 3 {
		if worker := c.workerOf("deadly.0.0.0"); worker != "" {
			c.replace(worker, fmt.Sprintf("again-%d", n))
			c.step()
			c.pollAll()
			c.step()
			c.pollAll()
		}
	}
	assert.Equal(t, deadly.Record.Phase, work.Failed)
	c.advanceTime(2 * time.Second)
	for _, job := range sound {
		assert.Equal(t, job.Record.Phase, work.Running)
		assert.Equal(t, len(c.workersOf(job.ID())), 1)
		assert.Equal(t, job.Record.Groups[0].CrashesOf(0).Suspected, 0, "it has run for longer than a deadly task would have")
	}
}

// Guards against work lost beside a suspect: nothing is placed on its worker until it has run for a while.
func TestNothingIsPlacedBesideASuspectOnProbation(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("suspect", batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute})
	c.step()
	c.replace(c.workerOf("suspect.0.0.0"), "again")
	c.advanceTime(200 * time.Millisecond)
	worker := c.workerOf("suspect.0.0.0")
	c.submit("wide", planQueue, "beta", gang(2, 7))
	c.step()
	assert.Equal(t, len(c.workersOf("wide")), 0)
	assert.Equal(t, len(c.running[worker]), 1)
	c.advanceTime(2 * time.Second)
	assert.Equal(t, len(c.workersOf("wide")), 2)
}

// Guards against jobs that are shown as failed without cause: a suspect is tried beside a task that began shortly before.
func TestOnlyTheSuspectOnProbationIsBlamed(t *testing.T) {
	c := newCluster(t, 1, 1)
	step := work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute}
	deadly := c.submit("deadly", batchQueue, "beta", step)
	c.step()
	c.replace("w0-0", "again")
	c.poll("again")
	sound := c.submit("a-sound", quickQueue, "beta", step)
	c.step()
	c.step()
	assert.Equal(t, len(c.running["again"]), 2)
	c.replace("again", "again-2")
	assert.Equal(t, deadly.Record.Phase, work.Failed)
	assert.DeepEqual(t, sound.Record.Groups[0].CrashesOf(0), work.TaskCrashes{Count: 1, Run: 1})
}

// Guards against BUDGET: a task crashes idle workers, and what it ran under has expired before a crash is certain. It is no crash
// that counts, but the next run is tried as a suspect's.
func TestTaskLostSoonAfterItsStartIsASuspect(t *testing.T) {
	c := newCluster(t, 1, 3)
	job := c.submit("deadly", batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute})
	c.step()
	first := c.workerOf("deadly.0.0.0")
	c.silent[first] = true
	delete(c.running[first], "deadly.0.0.0")
	for len(c.workersOf("deadly")) == 0 {
		c.advanceTime(200 * time.Millisecond)
	}
	assert.Equal(t, len(job.Record.Groups[0].Crashes), 0)
	second := c.workerOf("deadly.0.0.0")
	c.submit("wide", planQueue, "beta", gang(2, 7))
	c.step()
	assert.Equal(t, len(c.workersOf("wide")), 0, "nothing is placed beside a suspect")
	assert.Equal(t, len(c.running[second]), 1)
}

// Guards against BUDGET with the owner lost: the successor knows only that the run was recorded, and another worker answers at
// the address.
func TestInheritedTaskOfAReplacedWorkerIsASuspect(t *testing.T) {
	c := newCluster(t, 1, 2)
	entry := c.inherit("w0-0")
	c.now = c.now.Add(time.Millisecond)
	c.replace("w0-0", "again")
	c.poll("again")
	order := c.lastStartOrder()
	assert.Equal(t, order.Task, entry.Task)
	assert.Assert(t, order.Member.SuspectedOfCrash())
}

// Guards against jobs that are shown as failed without cause: a task is done shortly before its worker crashes, and no poll was
// open to tell.
func TestCrashAfterWhichAnExitMayBeUnheardDoesNotCount(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.submit("short", batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Minute})
	c.step()
	for range 6 {
		worker := c.workerOf("short.0.0.0")
		assert.Assert(t, worker != "")
		c.now = c.now.Add(300 * time.Millisecond)
		c.crash(worker)
	}
	assert.Equal(t, job.Record.Phase, work.Running)
	assert.Equal(t, len(job.Record.Groups[0].Crashes), 0)
}

// Guards against jobs that are shown as failed without cause: a task that is being stopped may have ended before its worker
// crashed.
func TestCrashUnderATaskThatIsBeingStoppedDoesNotCount(t *testing.T) {
	c := newCluster(t, 1, 1)
	plain := work.Step{Count: 1, MilliCores: 1000, Accelerators: 8, Estimate: time.Minute}
	job := c.submit("stopped", batchQueue, "beta", plain)
	c.step()
	c.silent["w0-0"] = true
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.step()
	assert.Equal(t, len(c.stops), 1)
	c.crash("w0-0")
	assert.Equal(t, len(job.Record.Groups[0].Crashes), 0)
}
