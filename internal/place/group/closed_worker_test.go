package group_test

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

func TestNothingStartsOnAWorkerThatLeaves(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.infos[0].Draining = true
	c.engine.SetWorkers(c.infos, c.now)
	c.submit("three", planQueue, "beta", gang(1, 8))
	c.submit("four", planQueue, "beta", gang(1, 8))
	c.step()
	assert.Equal(t, len(c.running[c.infos[0].ID]), 0)
	assert.Equal(t, len(c.running[c.infos[1].ID]), 1)
}

func TestNothingStartsInAnEvacuatedDataCentreUntilItIsTakenBack(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.engine.SetPolicy(group.Policy{Evacuated: map[string]bool{"dc0": true}})
	c.submit("one", quickQueue, "alpha", gang(1, 8))
	c.submit("two", quickQueue, "alpha", gang(1, 8))
	c.step()
	assert.Equal(t, len(c.running["w0-0"]), 0)
	assert.Equal(t, len(c.running["w1-0"]), 1)
	c.engine.SetPolicy(group.Policy{})
	c.step()
	assert.Equal(t, len(c.running["w0-0"]), 1)
}

// Guards against a start on a worker that begins to drain after the intent was recorded and before the order is sent.
func TestStartThatHasNotLeftIsWithheldFromAWorkerThatLeaves(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("late", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	for i := range c.infos {
		c.infos[i].Draining = c.infos[i].ID == order.Worker
	}
	c.engine.SetWorkers(c.infos, c.now)
	assert.Assert(t, c.engine.Closed(c.engine.Worker(order.Worker)))
	c.engine.WithdrawStart(order.Member, c.now)
	assert.Assert(t, !order.Member.StartWanted())
	c.step()
	assert.Equal(t, c.workersOf("late")[order.Worker], 0)
	assert.Equal(t, len(c.workersOf("late")), 1)
}
