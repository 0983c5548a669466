package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// maxWait is how long a task group may wait while there is room for it twice over and less than half of its service is in use.
const maxWait = 3 * time.Second

// assertRunsWithin checks that the job has a task running within the time.
func (c *cluster) assertRunsWithin(d time.Duration, job string) {
	c.t.Helper()
	for end := c.now.Add(d); len(c.workersOf(job)) == 0 && c.now.Before(end); {
		c.advanceTime(200 * time.Millisecond)
	}
	assert.Assert(c.t, len(c.workersOf(job)) > 0, "%s has no run after %s", job, d)
}

// newSharedCluster returns six racks of two workers; those of the last four racks have the service other, which is fully used.
func newSharedCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 6, 2)
	for i := range c.infos {
		if c.infos[i].Rack > "r1" {
			c.infos[i].Service = "other"
		}
	}
	c.engine.SetPolicy(group.Policy{Queues: []group.Queue{{Name: "others", Service: "other", Priority: 2, MaxAttempts: 4, Stretch: 3}}})
	c.engine.SetWorkers(c.infos, c.now)
	c.submit("busy", "others", "beta", work.Step{Count: 8, MilliCores: 1000, Accelerators: 8, Estimate: time.Hour, LongRunning: true})
	c.step()
	assert.Equal(t, len(c.workersOf("busy")), 8)
	return c
}

// Guards against a job that stands although workers are free (LOST): another service uses most of the fleet, so the rack that is set
// aside for quick jobs stays closed to it.
func TestUseOfAnotherServiceKeepsNoTaskFromFreeRacks(t *testing.T) {
	c := newSharedCluster(t)
	c.submit("half", batchQueue, "beta", work.Step{Count: 2, MilliCores: 1000, Accelerators: 5, Estimate: time.Hour, Requires: "r1"})
	c.step()
	c.submit("last", batchQueue, "beta", single(1, 4))
	c.assertRunsWithin(maxWait, "last")
}

// Guards against a gang that stands although little of its service is in use (LOST): another service uses most of the fleet, so small
// tasks that are spread over all workers are not moved for it.
func TestUseOfAnotherServiceKeepsNoGangFromScatteredRoom(t *testing.T) {
	c := newSharedCluster(t)
	c.submit("small", batchQueue, "beta", work.Step{Count: 4, MilliCores: 1000, Accelerators: 1, Estimate: time.Hour, MaxPerWorker: 1})
	c.step()
	c.submit("wide", batchQueue, "beta", gang(2, 8))
	c.assertRunsWithin(maxWait, "wide")
}
