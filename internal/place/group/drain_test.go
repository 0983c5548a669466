package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// drainWorker makes the worker report that it drains and leaves after that time.
func (c *cluster) drainWorker(id string, in time.Duration) {
	for i := range c.infos {
		if c.infos[i].ID == id {
			c.infos[i].Draining, c.infos[i].LeavesIn = true, in
		}
	}
	c.engine.SetWorkers(c.infos, c.now)
}

// onlyWorkerOf returns a worker that runs a task of the job, the only one if it has one task.
func (c *cluster) onlyWorkerOf(job string) string {
	c.t.Helper()
	for id := range c.workersOf(job) {
		return id
	}
	c.t.Fatalf("%s runs on no worker", job)
	return ""
}

// Guards against delaying a restart until the lease of a departed worker has expired, four seconds later: workers are
// removed at short notice while they run quick gangs that can't finish by then.
func TestGangWhoseWorkerLeavesTooSoonBeginsAnewAtOnce(t *testing.T) {
	c := newCluster(t, 2, 4)
	c.submit("quick", quickQueue, "alpha", work.Step{Count: 3, MilliCores: 1000, Accelerators: 8, Estimate: 5 * time.Second, Gang: true})
	c.step()
	leaving := c.onlyWorkerOf("quick")
	c.drainWorker(leaving, 1800*time.Millisecond)
	c.step()
	c.step()
	on := c.workersOf("quick")
	assert.Equal(t, len(on), 3)
	assert.Equal(t, on[leaving], 0)
}

// Guards against stopping a quick job that finishes in time, as in a planned scale-in.
func TestTaskThatFinishesBeforeItsWorkerLeavesIsNotStopped(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("quick", quickQueue, "alpha", work.Step{Count: 1, MilliCores: 1000, Accelerators: 8, Estimate: 2 * time.Second, Gang: true})
	c.step()
	c.drainWorker(c.onlyWorkerOf("quick"), 4*time.Second)
	c.step()
	assert.Equal(t, len(c.stops), 0)
}

// Guards against postponing the time at which a worker leaves when its stale list entry is read again.
func TestTimeUntilAWorkerLeavesIsNotExtendedByAStaleReport(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job", planQueue, "alpha", work.Step{Count: 1, MilliCores: 1000, Accelerators: 8, Estimate: 4 * time.Second, Gang: true})
	c.step()
	on := c.onlyWorkerOf("job")
	c.drainWorker(on, 4*time.Second)
	c.step()
	assert.Equal(t, len(c.stops), 0)
	c.now = c.now.Add(2 * time.Second)
	c.running[on]["job.0.0.0"] = group.RunningEntry{Task: "job.0.0.0", Run: 1, Percent: 10}
	c.pollAll()
	c.drainWorker(on, 4*time.Second)
	c.step()
	assert.Equal(t, len(c.stops), 1)
}
