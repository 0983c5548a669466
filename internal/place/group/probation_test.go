package group_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// loadSuspect loads a job of one task that may have crashed a worker.
func (c *cluster) loadSuspect(id string) *group.Job {
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, MayCrash: true}}}
	return c.engine.Load(&work.Spec{Job: id, Queue: batchQueue, Steps: []work.Step{single(1, 1)}}, record, 0, c.now, c.now)
}

// Guards against a task that begins beside a suspect (PROBATION): both are planned in one decision, and the worker executes the start of
// the suspect first.
func TestSuspectIsNotPlacedWhereAStartIsUnderWay(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("sound", quickQueue, "beta", single(1, 1))
	suspect := c.loadSuspect("suspect")
	order := c.lastStartOrder()
	assert.Equal(t, order.Task, "sound.0.0.0")
	assert.Equal(t, suspect.Record.Groups[0].Run, 1, "the suspect is planned while the other start is under way")
	order.Member.MarkSent()
	c.running[order.Worker][order.Task] = group.RunningEntry{Task: order.Task, Run: order.Run}
	c.engine.ApplyStartResult(order.Member, group.Accepted, c.now)
	c.step()
	assert.Equal(t, len(c.workersOf("suspect")), 1)
}

// Guards against suspects that take the room of a start which is under way on each worker, and against one that is never tried.
func TestSuspectsAreTriedBesideTasksThatRun(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("sound", batchQueue, "beta", longRunning(4))
	for n := range 2 {
		c.loadSuspect(fmt.Sprint("suspect-", n))
	}
	c.advanceTime(400 * time.Millisecond)
	for n := range 2 {
		assert.Equal(t, len(c.workersOf(fmt.Sprint("suspect-", n))), 1)
	}
}

// Guards against the same for tasks of one step, which share searches: the second suspect finds the room that the first search has listed.
func TestSuspectIsNotPlacedWhereATaskOfItsStepStarts(t *testing.T) {
	c := newCluster(t, 1, 2)
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, MayCrash: true}, {}, {Run: 1, MayCrash: true}}}
	job := c.engine.Load(&work.Spec{Job: "job", Queue: batchQueue, Steps: []work.Step{single(3, 1)}}, record, 0, c.now, c.now)
	c.engine.Decide(true, c.now)
	assert.Equal(t, job.Record.Groups[0].Run, 2)
	assert.Equal(t, job.Record.Groups[1].Run, 1)
	assert.Equal(t, job.Record.Groups[2].Run, 1, "planned beside a task that is about to start")
}

// Guards against the same for gangs, which are placed by other code.
func TestSuspectedGangIsNotPlacedWhereAStartIsUnderWay(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("sound", quickQueue, "beta", single(1, 1))
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, MayCrash: true}}}
	job := c.engine.Load(&work.Spec{Job: "job", Queue: batchQueue, Steps: []work.Step{gang(2, 7)}}, record, 0, c.now, c.now)
	c.engine.Decide(true, c.now)
	assert.Equal(t, job.Record.Groups[0].Run, 1, "planned beside a task that is about to start")
}

// Guards against an urgent suspect that comes after other work without need: the other has not waited for long, or most of the service is
// in use.
func TestUrgentSuspectKeepsItsOrder(t *testing.T) {
	for _, inUse := range []bool{false, true} {
		t.Run(fmt.Sprint("most is in use: ", inUse), func(t *testing.T) {
			c := newCluster(t, 1, 1)
			first := longRunning(1)
			if inUse {
				first.Accelerators, first.MilliCores = 6, 24000
			}
			c.submit("first", batchQueue, "beta", first)
			c.step()
			full := longRunning(1)
			full.Accelerators = 8 - first.Accelerators
			c.submit("full", batchQueue, "beta", full)
			c.step()
			record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, MayCrash: true}}}
			need := single(1, full.Accelerators)
			c.engine.Load(&work.Spec{Job: "suspect", Queue: planQueue, Steps: []work.Step{need}}, record, 0, c.now, c.now)
			if inUse {
				c.submit("batch", batchQueue, "beta", need)
			}
			c.advanceTime(1400 * time.Millisecond)
			assert.Equal(t, len(c.workersOf("suspect")), 0)
			if !inUse {
				c.submit("batch", batchQueue, "beta", need)
			}
			c.engine.Cancel("full", c.now)
			c.step()
			c.step()
			assert.Equal(t, len(c.workersOf("suspect")), 1)
			assert.Equal(t, len(c.workersOf("batch")), 0)
		})
	}
}
