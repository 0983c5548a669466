package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// failing lets the workers fail all that runs there, for the given time.
func (c *cluster) failing(d time.Duration, workers ...string) {
	c.t.Helper()
	for end := c.now.Add(d); c.now.Before(end); c.advanceTime(200 * time.Millisecond) {
		for _, id := range workers {
			for task := c.anyTaskOn(id); task != ""; task = c.anyTaskOn(id) {
				c.exitTask(task, group.Failed)
			}
		}
	}
}

// label gives the label b to the workers, which other workers do not have.
func (c *cluster) label(workers ...string) {
	for i := range c.infos {
		for _, id := range workers {
			if c.infos[i].ID == id {
				c.infos[i].Labels = []string{"b", c.infos[i].Rack}
			}
		}
	}
	c.engine.SetWorkers(c.infos, c.now)
}

// requiring returns a step of tasks that require the label b.
func requiring(step work.Step) work.Step {
	step.Requires = "b"
	return step
}

// failureCase is a job on a fleet of six workers, of which some have the label that it requires and fail for a while.
type failureCase struct {
	step     work.Step
	labelled []string
	failing  []string
	// attempts is how many runs may fail.
	attempts int
}

var failureCases = map[string]failureCase{
	"two labelled workers, both failing":  {single(1, 1), []string{"w0-0", "w1-1"}, []string{"w0-0", "w1-1"}, 3},
	"one labelled worker, failing":        {single(1, 1), []string{"w1-2"}, []string{"w1-2"}, 3},
	"three labelled workers, two failing": {single(1, 1), []string{"w0-0", "w0-1", "w1-2"}, []string{"w0-0", "w0-1"}, 2},
	"a gang that needs all of them":       {gang(2, 8), []string{"w0-0", "w0-1"}, []string{"w0-1"}, 3},
}

// Guards against a task that is never placed again (LOST): it has failed on each worker that could run it, for a while, below the
// attempts of its queue. They must not be used up in that time either.
func TestTaskReturnsToWorkersOnWhichItFailed(t *testing.T) {
	for name, fc := range failureCases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 3)
			c.label(fc.labelled...)
			job := c.submit("job-a", batchQueue, "beta", requiring(fc.step))
			c.step()
			began := c.now
			c.failing(6*time.Second, fc.failing...)
			for len(c.workersOf("job-a")) == 0 && c.now.Sub(began) < 20*time.Second {
				c.advanceTime(200 * time.Millisecond)
			}
			failures := job.Record.Groups[0].Failures
			assert.Assert(t, len(c.workersOf("job-a")) > 0)
			assert.Assert(t, failures <= fc.attempts)
			assert.Equal(t, job.Record.Phase, work.Running)
			assert.Assert(t, c.now.Sub(began) <= 14*time.Second)
		})
	}
}

// Guards against attempts that are used up on a worker that fails everything: others that are free come first, also once the group
// may return.
func TestTaskPrefersWorkersOnWhichItHasNotFailed(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job-a", batchQueue, "beta", single(1, 1))
	c.step()
	failed := c.workerOf("job-a.0.0.0")
	c.exitTask("job-a.0.0.0", group.Failed)
	c.step()
	other := c.workerOf("job-a.0.0.0")
	assert.Assert(t, other != failed)
	c.advanceTime(10 * time.Second)
	c.exitTask("job-a.0.0.0", group.Stopped)
	c.step()
	assert.Equal(t, c.workerOf("job-a.0.0.0"), other)
}

// Guards against a task that waits for the only worker without a failure (LOST), which others have filled.
func TestTaskReturnsWhileOtherWorkersAreFull(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job-a", planQueue, "beta", single(1, 8))
	c.submit("job-b", planQueue, "beta", single(1, 8))
	c.step()
	failed := c.workerOf("job-a.0.0.0")
	c.exitTask("job-a.0.0.0", group.Failed)
	c.advanceTime(8 * time.Second)
	assert.Equal(t, c.workerOf("job-a.0.0.0"), failed)
}

// Guards against a quick job that stops nothing on its only worker, as it has failed there before.
func TestQuickTaskPreemptsOnAWorkerOnWhichItFailed(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.label("w0-0")
	c.submit("quick", quickQueue, "alpha", requiring(single(1, 8)))
	for range 2 {
		c.advanceTime(1400 * time.Millisecond)
		c.exitTask("quick.0.0.0", group.Failed)
	}
	c.submit("batch", batchQueue, "beta", requiring(single(1, 8)))
	c.advanceTime(1400 * time.Millisecond)
	assert.Equal(t, c.workerOf("batch.0.0.0"), "w0-0")
	c.advanceTime(time.Second)
	assert.Equal(t, c.workerOf("quick.0.0.0"), "w0-0")
}

// Guards against attempts that are used up on workers that fail everything, as the next owner does not know of their failures.
func TestNextOwnerPrefersWorkersOnWhichATaskHasNotFailed(t *testing.T) {
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 2, Failures: 2, FailedRun: 2, FailedOn: []string{"w0-0", "w0-1"}}}}
	data, err := record.Encode()
	assert.NilError(t, err)
	for name, labelled := range map[string][]string{"others are free": {"w0-0", "w0-1", "w1-0"}, "no others": {"w0-0", "w0-1"}} {
		t.Run(name, func(t *testing.T) {
			inherited, err := work.DecodeRecord(data)
			assert.NilError(t, err)
			c := newCluster(t, 2, 3)
			c.label(labelled...)
			c.engine.Load(&work.Spec{Job: "job-a", Queue: batchQueue, Steps: []work.Step{requiring(single(1, 1))}}, inherited, 0, c.now, c.now)
			c.step()
			if len(labelled) == 3 {
				assert.Equal(t, c.workerOf("job-a.0.0.0"), "w1-0")
				return
			}
			assert.Equal(t, c.workerOf("job-a.0.0.0"), "")
			c.advanceTime(2400 * time.Millisecond)
			assert.Assert(t, c.workerOf("job-a.0.0.0") != "")
		})
	}
}
