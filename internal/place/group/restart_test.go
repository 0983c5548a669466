package group_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// restart starts the worker again as the given incarnation, with nothing running.
func (c *cluster) restart(id string, incarnation int64) {
	c.running[id] = make(map[string]group.RunningEntry)
	c.lastExit[id] = 0
	for i := range c.infos {
		if c.infos[i].ID == id {
			c.infos[i].Incarnation = incarnation
		}
	}
}

// Guards against a log that can't tell a restart from a stale list entry: each change of incarnation names its source.
func TestRestartIsLoggedWithItsIncarnationsAndSource(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.restart("w0-0", 2)
	c.poll("w0-0")
	c.restart("w0-1", 3)
	c.engine.SetWorkers(c.infos, c.now)
	c.step()
	assert.DeepEqual(t, c.decisions, []group.Decision{
		{Kind: group.WorkerRestarted, Worker: "w0-0", Incarnation: 2, Previous: 1, Text: "read from its own listing"},
		{Kind: group.WorkerRestarted, Worker: "w0-1", Incarnation: 3, Previous: 1, Text: "read from the worker list"},
	})
}

// takeStart lets the worker take the start order, whether or not the owner learns of it.
func (c *cluster) takeStart(order group.StartOrder) {
	c.running[order.Worker][order.Task] = group.RunningEntry{Task: order.Task, Run: order.Run}
}

// Guards against two runs of one task (incident inc1): a worker restarts under its ID, its new incarnation acknowledges a
// start, and only then does a poll show the owner that there was a restart.
func TestStartTakenByANewIncarnationIsNotLostWithTheEarlierOne(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	order.Member.MarkSent()
	c.restart(order.Worker, 2)
	c.takeStart(order)
	c.engine.ApplyStartResult(order.Member, group.Accepted, c.now)
	c.now = c.now.Add(5 * time.Millisecond)
	c.poll(order.Worker)
	c.step()
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{order.Worker: 1})
	assert.Equal(t, len(c.stops), 0)
}

// Guards against two runs of one task: a poll that was sent before the new incarnation took the start does not list it.
func TestStartTakenAfterTheFirstPollOfANewIncarnationIsNotLost(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.submit("job-a", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	order.Member.MarkSent()
	c.restart(order.Worker, 2)
	polled := c.now
	c.now = c.now.Add(5 * time.Millisecond)
	c.engine.ApplyStartResult(order.Member, group.Accepted, c.now)
	c.takeStart(order)
	c.engine.ApplyListing(order.Worker, group.Listing{Incarnation: 2}, polled, c.now)
	c.step()
	c.advanceTime(time.Second)
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{order.Worker: 1})
	assert.Equal(t, job.Record.Groups[0].Run, 1)
}

// Guards against two runs of one task: a start without a response reaches the new incarnation after the owner has learned of
// the restart.
func TestUnansweredStartIsSettledBeforeTheTaskRunsElsewhere(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	order.Member.MarkSent()
	c.restart(order.Worker, 2)
	c.poll(order.Worker)
	c.silent[order.Worker] = true
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0, "the new incarnation may still take the start")
	c.takeStart(order)
	c.silent[order.Worker] = false
	c.advanceTime(time.Second)
	running := 0
	for _, tasks := range c.workersOf("job-a") {
		running += tasks
	}
	assert.Equal(t, running, 1)
	assert.DeepEqual(t, c.stops[0], group.StopOrder{Worker: order.Worker, Task: order.Task, Run: order.Run})
}

// Guards against a task that never runs again: what an earlier incarnation ran ended with it.
func TestTaskOfAnEarlierIncarnationRunsAgainAtOnce(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.step()
	c.pollAll()
	worker := ""
	for id := range c.workersOf("job-a") {
		worker = id
	}
	c.restart(worker, 2)
	c.poll(worker)
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 1)
}

// Guards against two runs of one task: an entry of the worker list that was written before a restart is read after a poll has
// shown it, and counts as a second restart.
func TestEntryFromBeforeARestartIsNoRestart(t *testing.T) {
	c := newCluster(t, 1, 2)
	before := slices.Clone(c.infos)
	c.restart("w0-0", 2)
	c.poll("w0-0")
	c.engine.SetWorkers(c.infos, c.now)
	c.silent["w0-1"] = true
	c.advanceTime(group.DefaultConfig().SeenWithin + time.Second)
	job := c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.step()
	c.poll("w0-0")
	c.engine.SetWorkers(before, c.now)
	c.poll("w0-0")
	c.advanceTime(time.Second)
	assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{"w0-0": 1})
	assert.Equal(t, job.Record.Groups[0].Run, 1)
	assert.Equal(t, c.engine.Worker("w0-0").Incarnation, int64(2))
}

// Guards against tasks that wait for a worker that has crashed: its connections broke some hundred milliseconds ago.
func TestNoTaskIsPlacedOnAWorkerWhosePollFailed(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.now = c.now.Add(100 * time.Millisecond)
	c.engine.PollFailed("w0-0", c.now, 0, c.now)
	c.now = c.now.Add(time.Millisecond)
	c.submit("job-a", planQueue, "beta", gang(2, 8))
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	c.now = c.now.Add(100 * time.Millisecond)
	c.poll("w0-0")
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 2)
}

// startRepeated loses the response to a start, which the worker has not executed yet, and confirms its repetition.
func (c *cluster) startRepeated() group.StartOrder {
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	order.Member.MarkSent()
	order.Member.MarkUnanswered()
	c.takeStart(order)
	c.engine.ApplyStartResult(order.Member, group.Accepted, c.now)
	c.now = c.now.Add(5 * time.Millisecond)
	c.poll(order.Worker)
	return order
}

// restartAndFallSilent restarts the worker as incarnation 2, which answers one poll and nothing after it.
func (c *cluster) restartAndFallSilent(worker string) {
	c.restart(worker, 2)
	c.now = c.now.Add(500 * time.Millisecond)
	c.poll(worker)
	c.silent[worker] = true
}

// Guards against two runs of one task: a start is repeated, the worker crashes under the repetition, and the first order, which
// had no response, is executed by the new incarnation.
func TestRepeatedStartIsSettledByAStopAfterARestart(t *testing.T) {
	c := newCluster(t, 1, 2)
	order := c.startRepeated()
	c.restartAndFallSilent(order.Worker)
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	assert.Assert(t, c.engine.Worker(order.Worker).NeedsStop(order.Task, order.Run))
	c.takeStart(order)
	c.silent[order.Worker] = false
	c.engine.SetWorkers(c.infos, c.now)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("job-a")), 1)
	assert.DeepEqual(t, c.stops[0], group.StopOrder{Worker: order.Worker, Task: order.Task, Run: order.Run})
}

// Guards against two runs of one task: the new incarnation falls silent before the stop of an unanswered start arrives, and
// is back after its lease has expired.
func TestUnansweredStartIsStoppedAfterTheLeaseOfANewIncarnation(t *testing.T) {
	c := newCluster(t, 1, 2)
	order := c.startRepeated()
	c.restartAndFallSilent(order.Worker)
	c.advanceTime(20 * time.Second)
	assert.Assert(t, c.engine.Worker(order.Worker).NeedsStop(order.Task, order.Run))
}

// inherit loads a job whose run 3 an earlier owner has started on the worker, or was about to.
func (c *cluster) inherit(worker string) group.RunningEntry {
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 3, Workers: []string{worker}}}}
	c.engine.Load(&work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{gang(1, 1)}}, record, 0, c.now, c.now)
	return group.RunningEntry{Task: "job-a.0.0.0", Run: 3}
}

// Guards against two runs of one task: an order of an earlier owner is executed by a new incarnation, which has seen no fencing
// token yet, and its first listing shows both the restart and the run.
func TestRunInTheFirstListingOfANewIncarnationIsNotLost(t *testing.T) {
	for name, listedBefore := range map[string]bool{"listed before": true, "about to be sent again": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 2)
			entry := c.inherit("w0-0")
			if listedBefore {
				c.running["w0-0"][entry.Task] = entry
			}
			c.pollAll()
			c.engine.Actions()
			c.restart("w0-0", 2)
			c.running["w0-0"][entry.Task] = entry
			c.poll("w0-0")
			c.silent["w0-0"] = true
			c.step()
			assert.DeepEqual(t, c.workersOf("job-a"), map[string]int{"w0-0": 1})
		})
	}
}

// Guards against tasks that never run again: a worker's time of day was set back, so its new incarnation has an earlier start
// time, and entries of the one before are still listed.
func TestWorkerWithAnEarlierStartTimeIsUsedAgain(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.restart("w0-0", 100)
	c.engine.SetWorkers(c.infos, c.now)
	c.pollAll()
	before := slices.Clone(c.infos)
	job := c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.step()
	c.pollAll()
	c.restart("w0-0", 50)
	c.advanceTime(time.Second)
	c.engine.SetWorkers(before, c.now)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("job-a")), 0, "only the entry of the earlier incarnation is listed")
	c.engine.SetWorkers(c.infos, c.now)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("job-a")), 1)
	assert.Equal(t, job.Record.Groups[0].Run, 2)
}

// Guards against workers that get no tasks although they answer: a poll is lost while a longer one is being answered.
func TestAnswerAfterALostPollMakesTheWorkerUsable(t *testing.T) {
	c := newCluster(t, 1, 1)
	longPoll := c.now.Add(10 * time.Millisecond)
	lostPoll := c.now.Add(100 * time.Millisecond)
	c.now = c.now.Add(600 * time.Millisecond)
	c.engine.PollFailed("w0-0", lostPoll, 0, c.now)
	c.now = c.now.Add(900 * time.Millisecond)
	c.engine.ApplyListing("w0-0", group.Listing{Incarnation: 1}, longPoll, c.now)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 1)
}

// without returns the list of workers without one of them.
func (c *cluster) without(id string) []group.WorkerInfo {
	return slices.DeleteFunc(slices.Clone(c.infos), func(info group.WorkerInfo) bool { return info.ID == id })
}

// Guards against a start after a run that is done: a worker is not listed for a moment, and then its exit is acknowledged
// before the record that holds it is durable.
func TestExitOfAnUnlistedWorkerWaitsForItsRecord(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.step()
	c.pollAll()
	delete(c.running["w0-0"], "job-a.0.0.0")
	exit := group.ExitEntry{Number: 1, Task: "job-a.0.0.0", Run: 1, Status: group.Done}
	c.poll("w0-0", exit)
	c.engine.SetWorkers(c.without("w0-0"), c.now)
	c.engine.SetWorkers(c.infos, c.now)
	c.poll("w0-0", exit)
	assert.Equal(t, c.engine.Worker("w0-0").DurableExit(), int64(0))
}

// Guards against two runs of one task: a start without a response was given up, and its worker is not listed for a moment.
func TestAbandonedStartOutlivesTheEntryOfItsWorker(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	order.Member.MarkSent()
	order.Member.MarkUnanswered()
	c.silent[order.Worker] = true
	c.advanceTime(20 * time.Second)
	c.engine.SetWorkers(c.without(order.Worker), c.now)
	c.restart(order.Worker, 2)
	c.engine.SetWorkers(c.infos, c.now)
	assert.Assert(t, c.engine.Worker(order.Worker).NeedsStop(order.Task, order.Run))
	c.engine.SetWorkers(c.without(order.Worker), c.now)
	c.now = c.now.Add(time.Minute)
	c.engine.SetWorkers(c.without(order.Worker), c.now)
	assert.Assert(t, c.engine.Worker(order.Worker) == nil, "a worker that is gone for good is forgotten")
}
