package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// heldRuns returns the decisions about held runs.
func (c *cluster) heldRuns() []group.Decision {
	var held []group.Decision
	for _, decision := range c.decisions {
		if decision.Kind == group.RunHeld {
			held = append(held, decision)
		}
	}
	return held
}

// Guards against a run that waits on a silent worker without a line in the log: the line says until when and why, once.
func TestHeldRunIsLoggedOnceWithItsEndAndReason(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.advanceTime(5 * time.Second)
	assert.DeepEqual(t, c.heldRuns(), []group.Decision{
		{Kind: group.RunHeld, Job: "long", Worker: id, Task: "long.0.0.0", Run: 1, Remaining: 3400 * time.Millisecond, Text: "its lease has not expired"},
	})
}

// Guards against a log that names the wrong reason while a lease proxy may extend the lease.
func TestHeldRunNamesTheLeaseProxyThatMayExtendItsLease(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.AllowExtension(id, "helper", c.now.Add(8*time.Second))
	c.advanceTime(5 * time.Second)
	assert.Equal(t, len(c.heldRuns()), 1)
	assert.Equal(t, c.heldRuns()[0].Text, "a lease proxy may extend its lease")
}

func TestRunOfAnAnsweringWorkerIsNotLoggedAsHeld(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.submit("long", planQueue, "beta", gang(1, 8))
	c.advanceTime(5 * time.Second)
	assert.Equal(t, len(c.heldRuns()), 0)
}
