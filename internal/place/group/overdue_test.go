package group_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// fill occupies all accelerators of so many workers with the label, with a gang, which is not preempted for others.
func (c *cluster) fill(label string, workers int) {
	c.t.Helper()
	full := gang(2*workers, 4)
	full.Requires, full.Estimate = label, time.Hour
	c.submit("full-"+label, planQueue, "beta", full)
	c.step()
	assert.Equal(c.t, len(c.workersOf("full-"+label)), workers)
}

// Guards against a job that stands although workers are free (LOST): the rack of its data is full or does not answer.
func TestTaskRunsAwayFromItsDataWhileMostWorkersAreFree(t *testing.T) {
	for name, prepare := range map[string]func(c *cluster){
		"the rack is full": func(c *cluster) { c.fill("r1", 2) },
		"the rack does not answer": func(c *cluster) {
			c.silent["w1-0"], c.silent["w1-1"] = true, true
			c.advanceTime(5 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 4, 2)
			prepare(c)
			near := single(1, 1)
			near.Affinity = "r1"
			c.submit("near", planQueue, "beta", near)
			c.assertRunsWithin(maxWait, "near")
		})
	}
}

// Guards against a gang that stands although workers are free (LOST): other gangs hold a part of each rack that could hold it.
func TestGangIsSpreadOverRacksWhileMostWorkersAreFree(t *testing.T) {
	c := newCluster(t, 6, 4)
	for _, label := range []string{"r0", "r1", "r2", "r3", "r4", "r5"} {
		c.fill(label, 1)
	}
	wide := gang(4, 8)
	wide.SameRack = true
	c.submit("wide", planQueue, "beta", wide)
	c.assertRunsWithin(maxWait, "wide")
}

// Guards against a task that waits for the rack of its data (LOST) because another one of its job may be alive on a worker that is gone.
func TestHeldTaskKeepsNoOtherOfItsJobWaiting(t *testing.T) {
	c := newCluster(t, 4, 2)
	near := single(2, 8)
	near.Affinity = "r1"
	c.fill("r1", 1)
	c.submit("near", planQueue, "beta", near)
	c.step()
	worker := c.workerOf("near.0.0.0")
	assert.Assert(t, worker != "")
	c.silent[worker] = true
	delete(c.running[worker], "near.0.0.0")
	c.advanceTime(3 * time.Second)
	c.assertRunsWithin(maxWait, "near")
}

// Guards against a job that stands although workers are free (LOST): their room is kept for a gang that waits for a long run to end.
func TestTaskUsesRoomThatIsKeptForABackfillWhileMostWorkersAreFree(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.fill("a", 1)
	c.submit("wide", planQueue, "beta", gang(4, 8))
	c.advanceTime(5 * time.Second)
	c.submit("small", batchQueue, "beta", single(1, 1))
	c.assertRunsWithin(maxWait, "small")
}

// Guards against a job that stands although workers are free (LOST): tasks of other jobs have failed on each of them.
func TestTaskUsesAvoidedWorkersWhileMostAreFree(t *testing.T) {
	c := newCluster(t, 1, 2)
	for _, job := range []string{"job-a", "job-b"} {
		spread := work.Step{Count: 2, MilliCores: 1000, Accelerators: 1, Estimate: time.Second, MaxPerWorker: 1}
		c.submit(job, batchQueue, "beta", spread)
	}
	c.step()
	for _, task := range []string{"job-a.0.0.0", "job-a.0.0.1", "job-b.0.0.0", "job-b.0.0.1"} {
		c.exitTask(task, group.Failed)
	}
	c.submit("sound", batchQueue, "beta", single(1, 1))
	c.assertRunsWithin(maxWait, "sound")
}

// Guards against a job that stands although workers are free (LOST): task groups that are suspected of a crash take turns on them, each
// on probation.
func TestTaskUsesWorkersWithRunsOnProbationWhileMostAreFree(t *testing.T) {
	c := newCluster(t, 1, 2)
	for n := range 12 {
		record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, MayCrash: true}}}
		spec := &work.Spec{Job: fmt.Sprintf("suspect-%d", n), Queue: batchQueue, Steps: []work.Step{single(1, 1)}}
		c.engine.Load(spec, record, 0, c.now, c.now)
	}
	c.step()
	c.submit("unsuspected", batchQueue, "beta", single(1, 1))
	c.assertRunsWithin(maxWait, "unsuspected")
}
