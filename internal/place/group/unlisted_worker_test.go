package group_test

import (
	"testing"
	"time"

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
