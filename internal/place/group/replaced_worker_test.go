package group_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// unlist removes the worker from the list of workers.
func (c *cluster) unlist(id string) {
	c.infos = slices.DeleteFunc(c.infos, func(info group.WorkerInfo) bool { return info.ID == id })
	c.engine.SetWorkers(c.infos, c.now)
}

// Guards against a task that waits for the lease of a worker that has crashed and left the list, although another worker
// answers at its address.
func TestTaskOfAReplacedWorkerRunsElsewhereAtOnce(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.advanceTime(time.Second)
	c.running[id] = make(map[string]group.RunningEntry)
	c.unlist(id)
	c.step()
	assert.Equal(t, len(c.workersOf("long")), 0)
	assert.Assert(t, c.engine.WorkerReplaced(id, c.now, c.now))
	c.step()
	assert.Equal(t, len(c.workersOf("long")), 1)
	assert.Equal(t, c.workersOf("long")[id], 0)
	assert.Assert(t, slices.Contains(c.decisions, group.Decision{Kind: group.WorkerReplaced, Worker: id, Text: "another worker answers at " + id}))
	c.unlist(id)
	assert.Assert(t, c.engine.Worker(id) == nil, "nothing keeps the replaced worker")
}

// Guards against two runs of one task: a worker that is cut off runs on although it has left the list.
func TestTaskOfAWorkerThatIsNoLongerListedIsHeldUntilItsLeaseExpires(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.unlist(id)
	c.advanceTime(5800 * time.Millisecond)
	assert.DeepEqual(t, c.workersOf("long"), map[string]int{id: 1})
}

// Guards against two runs of one task: a refusal that overtakes the worker's own answer to a later poll is outdated.
func TestRefusalOlderThanTheWorkersLastAnswerEndsNothing(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	sentAt := c.now
	c.now = c.now.Add(time.Millisecond)
	c.poll(id)
	assert.Assert(t, !c.engine.WorkerReplaced(id, sentAt, c.now))
	c.step()
	assert.DeepEqual(t, c.workersOf("long"), map[string]int{id: 1})
}

// Guards against two runs of one task: a call that was sent before the start was ordered says nothing about the run.
func TestRefusalOlderThanTheRunEndsNothing(t *testing.T) {
	c := newCluster(t, 1, 1)
	sentAt := c.now.Add(time.Millisecond)
	c.now = c.now.Add(2 * time.Millisecond)
	c.submit("long", planQueue, "beta", gang(1, 8))
	c.step()
	assert.Assert(t, !c.engine.WorkerReplaced("w0-0", sentAt, c.now))
	c.step()
	assert.DeepEqual(t, c.workersOf("long"), map[string]int{"w0-0": 1})
}

// Guards against starts on a replaced worker that is still listed.
func TestNothingStartsOnAReplacedWorkerThatIsStillListed(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.now = c.now.Add(time.Second)
	c.engine.WorkerReplaced("w0-0", c.now, c.now)
	c.submit("late", planQueue, "beta", gang(1, 8))
	c.step()
	assert.Equal(t, len(c.workersOf("late")), 0)
}
