package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against a reservation that refers to a worker that is no longer listed: the store was down, its list of workers has
// expired, and idle workers with reserved room are dropped.
func TestReservationOnAnUnlistedWorkerIsDropped(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.submit("saves", batchQueue, "beta", gang(1, 8))
	c.step()
	c.advanceTime(2 * time.Second)
	c.submit("quick", quickQueue, "alpha", gang(4, 8))
	c.step()
	assert.Equal(t, len(c.stops), 1, "room is being made")
	listed := c.infos
	c.infos = nil
	c.engine.SetWorkers(nil, c.now)
	c.engine.Decide(true, c.now)
	c.infos = listed
	c.engine.SetWorkers(listed, c.now)
	c.advanceTime(4 * time.Second)
	assert.Equal(t, len(c.workersOf("quick")), 4)
}

// Guards against taking a worker for gone whose entry can't be used: it counts as unlisted, what runs there runs on for as long as it
// answers, and nothing new starts there.
func TestTasksOfAWorkerWhoseEntryIsOddRunOn(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("long", planQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Estimate: time.Hour})
	c.step()
	assert.Equal(t, len(c.workersOf("long")), 1)
	c.engine.SetWorkers(nil, c.now)
	c.submit("next", planQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Estimate: time.Hour})
	for range 60 {
		c.advanceTime(400 * time.Millisecond)
		c.engine.SetWorkers(nil, c.now)
	}
	assert.Equal(t, len(c.workersOf("long")), 1)
	assert.Equal(t, c.leaseExpirations()+len(c.stops)+len(c.workersOf("next")), 0)
	c.engine.SetWorkers(c.infos, c.now)
	c.advanceTime(time.Second)
	assert.Equal(t, len(c.workersOf("next")), 1)
}
