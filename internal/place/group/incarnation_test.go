package group_test

import (
	"math"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// inheritRun loads a job with one task of which an earlier owner has recorded the first run on w0-0, in its first incarnation.
func (c *cluster) inheritRun(incarnations ...int64) *group.Job {
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Workers: []string{"w0-0"}, Incarnations: incarnations}}}
	return c.engine.Load(&work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{gang(1, 8)}}, record, 0, c.now, c.now)
}

// hear lets the engine hear of the exit of the first run on w0-0 in its first incarnation.
func (c *cluster) hear(status group.ExitStatus) {
	c.engine.ApplyHeardExits([]group.WorkerExit{{
		Worker: "w0-0", Incarnation: 1, Exit: group.ExitEntry{Number: 1, Task: "job-a.0.0.0", Run: 1, Status: status},
	}}, c.now)
}

// runsOf returns the numbers of the runs of the job's tasks.
func (c *cluster) runsOf(task string) (runs []int) {
	for _, tasks := range c.running {
		if entry, ok := tasks[task]; ok {
			runs = append(runs, entry.Run)
		}
	}
	return runs
}

// Guards against two starts of one task under one number: its worker restarted between two owners (review/6, TWICE).
func TestRecordedRunIsNotStartedInTheNextIncarnation(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.inheritRun(1)
	c.restart("w0-0", 2)
	c.engine.SetWorkers(c.infos, c.now)
	c.pollAll()
	c.step()
	assert.DeepEqual(t, c.runsOf("job-a.0.0.0"), []int{2})
}

// Guards against work that is given up: a start that did not reach the worker is sent again under its number.
func TestRecordedRunIsStartedInItsIncarnation(t *testing.T) {
	for name, incarnations := range map[string][]int64{"known": {1}, "recorded by an earlier release": nil} {
		c := newCluster(t, 1, 2)
		job := c.inheritRun(incarnations...)
		c.pollAll()
		c.step()
		assert.DeepEqual(t, c.runsOf("job-a.0.0.0"), []int{1})
		assert.Equal(t, job.Record.Groups[0].IncarnationOf(0), int64(1), name)
	}
}

// Guards against two runs of one task: an exit of an earlier incarnation ends the run that is alive in the present one (review/6, TWICE).
// Its number is the same if an owner of an earlier release has sent the start again.
func TestExitOfAnEarlierIncarnationDoesNotEndARun(t *testing.T) {
	for _, status := range []group.ExitStatus{group.Failed, group.Stopped, group.Lapsed, group.Broken, group.Alone} {
		c := newCluster(t, 1, 2)
		job := c.inheritRun(1)
		c.restart("w0-0", 2)
		c.running["w0-0"]["job-a.0.0.0"] = group.RunningEntry{Task: "job-a.0.0.0", Run: 1}
		c.engine.SetWorkers(c.infos, c.now)
		c.pollAll()
		c.hear(status)
		c.advanceTime(time.Second)
		assert.DeepEqual(t, c.runsOf("job-a.0.0.0"), []int{1})
		assert.Equal(t, job.Record.Groups[0].Failures, 0, status.String())
		assert.Equal(t, job.Record.Groups[0].IncarnationOf(0), int64(2))
	}
}

// Guards against a task that is done again: that it is done holds whichever incarnation has said so.
func TestTaskThatAnEarlierIncarnationHasDoneIsDone(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.inheritRun(1)
	c.restart("w0-0", 2)
	c.engine.SetWorkers(c.infos, c.now)
	c.pollAll()
	c.step()
	c.hear(group.Done)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.runsOf("job-a.0.0.0")), 0)
	assert.Equal(t, job.Record.Phase, work.Completed)
}

// Guards against a failure that is not counted: the exit is one of the recorded run, whether its worker has restarted or is gone.
func TestExitOfTheRecordedIncarnationEndsTheRun(t *testing.T) {
	for name, listed := range map[string]bool{"restarted": true, "gone": false} {
		c := newCluster(t, 1, 2)
		job := c.inheritRun(1)
		if listed {
			c.restart("w0-0", 2)
		} else {
			c.infos = c.infos[1:]
		}
		c.engine.SetWorkers(c.infos, c.now)
		c.hear(group.Failed)
		c.pollAll()
		c.step()
		assert.DeepEqual(t, c.runsOf("job-a.0.0.0"), []int{2})
		assert.Equal(t, job.Record.Groups[0].Failures, 1, name)
	}
}

// Guards against two runs of one task: an exit that a release without incarnations has passed on is taken for that of a run in a later one.
func TestExitOfAnUnknownIncarnationDoesNotEndARun(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.inheritRun()
	c.running["w0-0"]["job-a.0.0.0"] = group.RunningEntry{Task: "job-a.0.0.0", Run: 1}
	c.pollAll()
	c.engine.ApplyHeardExits([]group.WorkerExit{{Worker: "w0-0", Exit: group.ExitEntry{Number: 1, Task: "job-a.0.0.0", Run: 1, Status: group.Failed}}}, c.now)
	c.advanceTime(time.Second)
	assert.DeepEqual(t, c.runsOf("job-a.0.0.0"), []int{1})
}

// Guards against a run that is given up although a report of an earlier owner is to come that tells how it ended.
func TestInheritedRunIsNotGivenUpBeforeReportsAreComplete(t *testing.T) {
	for name, lose := range map[string]func(c *cluster){
		"restarted": func(c *cluster) {
			c.restart("w0-0", 2)
			c.engine.SetWorkers(c.infos, c.now)
		},
		"lapsed": func(c *cluster) {
			c.silent["w0-0"] = true
			c.advanceTime(20 * time.Second)
		},
		"replaced": func(c *cluster) {
			c.silent["w0-0"] = true
			c.now = c.now.Add(time.Second)
			c.engine.WorkerReplaced("w0-0", c.now, c.now)
		},
	} {
		c := newCluster(t, 1, 2)
		c.engine.AwaitReports()
		job := c.inheritRun(1)
		lose(c)
		c.pollAll()
		c.step()
		assert.Equal(t, len(c.runsOf("job-a.0.0.0")), 0, name)
		c.hear(group.Done)
		c.engine.ReportsComplete()
		c.step()
		assert.Equal(t, job.Record.Phase, work.Completed, name)
		assert.Equal(t, job.Record.Groups[0].Run, 1, name)
	}
}

// Guards against tasks that wait without need: what a worker shows of the incarnation to which the start was sent needs no report.
func TestRecordedRunIsStartedBeforeReportsAreComplete(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.engine.AwaitReports()
	c.inheritRun(1)
	c.pollAll()
	c.step()
	assert.DeepEqual(t, c.runsOf("job-a.0.0.0"), []int{1})
}

// Guards against a run that is never given up, as no report tells of it.
func TestInheritedRunIsGivenUpOnceReportsAreComplete(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.engine.AwaitReports()
	c.inheritRun(1)
	c.restart("w0-0", 2)
	c.engine.SetWorkers(c.infos, c.now)
	c.pollAll()
	c.step()
	c.engine.ReportsComplete()
	c.step()
	assert.DeepEqual(t, c.runsOf("job-a.0.0.0"), []int{2})
}

// Guards against a start under a number that the record gives to an earlier incarnation: the worker restarts while the record of the run
// is being written.
func TestPlannedRunIsNotStartedInTheNextIncarnation(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.engine.Decide(true, c.now)
	updates := c.engine.Updates(math.MaxInt, c.now)
	worker := job.Record.Groups[0].Workers[0]
	c.restart(worker, 2)
	c.engine.SetWorkers(c.infos, c.now)
	for _, u := range updates {
		c.engine.Committed(u, c.now)
	}
	c.pollAll()
	c.step()
	assert.DeepEqual(t, c.runsOf("job-a.0.0.0"), []int{2})
}

// Guards against two runs of one task: its run is given up as the worker list shows a restart, before the new incarnation has answered; until
// then it takes orders of earlier owners.
func TestRunIsNotGivenUpBeforeTheNextIncarnationAnswers(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.silent["w0-1"] = true
	c.infos = append(c.infos, group.WorkerInfo{
		ID: "w0-9", Service: "main", Address: "w0-9", DataCentre: "dc0", Rack: "r0", Capacity: group.Resources{MilliCores: 32000, MemoryMB: 128000, Accelerators: 8}, Incarnation: 1,
	})
	c.running["w0-9"] = make(map[string]group.RunningEntry)
	c.silent["w0-9"] = true
	c.engine.SetWorkers(c.infos, c.now)
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Workers: []string{"w0-0", "w0-9"}, Incarnations: []int64{1, 1}}}}
	c.engine.Load(&work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{gang(2, 8)}}, record, 0, c.now, c.now)
	c.pollAll()
	c.step()
	c.restart("w0-0", 2)
	c.engine.SetWorkers(c.infos, c.now)
	c.silent["w0-0"], c.silent["w0-9"] = true, false
	c.running["w0-9"]["job-a.0.0.1"] = group.RunningEntry{Task: "job-a.0.0.1", Run: 1}
	c.poll("w0-9")
	c.step()
	assert.DeepEqual(t, c.runsOf("job-a.0.0.1"), []int{1})
	assert.Equal(t, len(c.stops), 0)
	c.silent["w0-0"], c.silent["w0-1"] = false, false
	c.pollAll()
	c.advanceTime(time.Second)
	assert.DeepEqual(t, c.runsOf("job-a.0.0.0"), []int{2})
}
