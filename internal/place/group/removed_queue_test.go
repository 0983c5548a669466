package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// removedConfig is the configuration with which jobs were accepted at a queue that has been removed since.
var removedConfig = &work.QueueConfig{Service: "main", Priority: 2, MaxAttempts: 3, Stretch: 3, Target: 3 * time.Second}

func (c *cluster) loadRemoved(config *work.QueueConfig, steps ...work.Step) *group.Job {
	spec := &work.Spec{Job: "job-a", Queue: "removed", Workspace: "alpha", Config: config, Steps: steps}
	return c.engine.Load(spec, nil, 0, c.now, c.now)
}

// Guards against jobs of a removed queue that stop for good with a new owner (review/5), which has never seen the queue.
func TestJobOfARemovedQueueGoesOnWithANewOwner(t *testing.T) {
	c := newCluster(t, 1, 2)
	after := work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Second, After: []int{0}}
	job := c.loadRemoved(removedConfig, work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Second}, after)
	c.step()
	c.exitTask("job-a.0.0.0", group.Done)
	c.step()
	c.exitTask("job-a.0.1.0", group.Done)
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
	assert.DeepEqual(t, job.Queue(), group.Queue{Name: "removed", Service: "main", Priority: 2, MaxAttempts: 3, Stretch: 3, Target: 3 * time.Second})
}

// Guards against jobs of a removed queue that fail after fewer attempts than they were accepted with.
func TestJobOfARemovedQueueKeepsItsAttempts(t *testing.T) {
	c := newCluster(t, 1, 4)
	job := c.loadRemoved(removedConfig, work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Second})
	for attempt := 1; attempt <= removedConfig.MaxAttempts; attempt++ {
		assert.Equal(t, job.Record.Phase.Final(), false, "attempt %d", attempt)
		c.advanceTime(10 * time.Second)
		c.exitTask("job-a.0.0.0", group.Failed)
	}
	assert.Equal(t, job.Record.Phase, work.Failed)
}

// Guards against an outdated configuration: a queue that exists has its present one, whatever a job was accepted with.
func TestQueueInForceGoesBeforeTheOneAtAcceptance(t *testing.T) {
	c := newCluster(t, 1, 1)
	spec := &work.Spec{Job: "job-a", Queue: planQueue, Config: removedConfig, Steps: []work.Step{{Count: 1}}}
	assert.Equal(t, c.engine.Load(spec, nil, 0, c.now, c.now).Queue().MaxAttempts, 2)
}
