package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// useMost occupies three quarters of each worker's accelerators and cores.
func (c *cluster) useMost() {
	step := longRunning(4)
	step.Accelerators, step.MilliCores, step.MaxPerWorker = 6, 24000, 1
	c.submit("most", batchQueue, "beta", step)
	c.step()
	assert.Equal(c.t, len(c.workersOf("most")), 4)
}

// Guards against a long-running task that does not start though there is room (LOST): the only worker with its label is closed for failures
// of two other tasks, and most of the service is in use.
func TestLongRunningTaskUsesAClosedWorkerWhileMostOfTheServiceIsInUse(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.label("w1-1")
	c.useMost()
	c.submit("failing", batchQueue, "beta", requiring(longRunning(2)))
	c.advanceTime(time.Second)
	c.exitTask("failing.0.0.0", group.Failed)
	c.exitTask("failing.0.0.1", group.Failed)
	c.engine.Cancel("failing", c.now)
	c.submit("sound", batchQueue, "beta", requiring(longRunning(1)))
	c.step()
	assert.Assert(t, c.engine.Avoided(c.engine.Worker("w1-1"), c.now))
	c.assertRunsWithin(maxWait, "sound")
}

// Guards against a long-running task that waits for another one of its step (LOST): the first has ended just now, and is not overdue.
func TestOverdueTaskDoesNotWaitForOthersOfItsStep(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.label("w1-1")
	c.useMost()
	c.submit("serve", batchQueue, "beta", requiring(longRunning(2)))
	c.step()
	c.engine.Worker("w1-1").AvoidUntil = c.now.Add(time.Minute)
	c.exitTask("serve.0.0.1", group.Done)
	c.advanceTime(1600 * time.Millisecond)
	c.exitTask("serve.0.0.0", group.Done)
	c.advanceTime(time.Second)
	assert.Equal(t, c.workerOf("serve.0.0.1"), "w1-1")
	assert.Equal(t, c.workerOf("serve.0.0.0"), "")
}
