package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// Guards against a job that stands (LOST): its start can't be sent, and nobody gives it up.
func TestStartThatCanNotBeSentIsGivenUp(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	c.assertRunsWithin(maxWait, "job-a")
	assert.Assert(t, !order.Member.StartWanted())
}

// Guards against a job that stands (LOST): one start without an answer closes all workers of the data centre for longer than until
// they answer.
func TestSuspectWorkersGetTasksOnceTheyAnswer(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.now = c.now.Add(time.Millisecond)
	c.engine.SuspectDataCentre("w0-0", c.now)
	c.submit("job-a", planQueue, "beta", gang(1, 8))
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	c.assertRunsWithin(maxWait, "job-a")
}

// Guards against a job that stands (LOST): the runs that were stopped for it are on workers that don't answer.
func TestReservationOnSilentWorkersKeepsNoJobFromFreeRoom(t *testing.T) {
	c := newCluster(t, 2, 2)
	for _, job := range []string{"long-a", "long-b", "long-c", "long-d"} {
		c.submit(job, batchQueue, "beta", gang(1, 8))
	}
	c.step()
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.silent["w0-0"], c.silent["w0-1"], c.silent["w1-0"], c.silent["w1-1"] = true, true, true, true
	c.step()
	assert.Equal(t, len(c.stops), 1)
	reserved := c.stops[0].Worker
	for id := range c.silent {
		c.silent[id] = id == reserved
	}
	for id := range c.running {
		if id != reserved {
			c.exitTask(c.anyTaskOn(id), group.Done)
		}
	}
	c.assertRunsWithin(maxWait, "quick")
}
