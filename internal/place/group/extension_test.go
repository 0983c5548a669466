package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// newClusterWithCutOffWorker starts one task and returns the worker that runs it, which answers nothing from then on; its
// lease ends after six seconds.
func newClusterWithCutOffWorker(t *testing.T) (*cluster, string) {
	t.Helper()
	c := newCluster(t, 2, 1)
	c.submit("long", planQueue, "beta", gang(1, 8))
	c.step()
	// The leases of earlier owners have expired by then.
	c.advanceTime(15 * time.Second)
	for id := range c.workersOf("long") {
		c.silent[id] = true
		return c, id
	}
	t.Fatal("the task runs on no worker")
	return nil, ""
}

// leaseExpirations counts the members that were given up because their worker's lease had expired.
func (c *cluster) leaseExpirations() int {
	n := 0
	for _, decision := range c.decisions {
		if decision.Kind == group.WorkerLapsed {
			n++
		}
	}
	return n
}

// Guards against a second start while the first task still runs: a data centre is unreachable for seven seconds while a
// lease proxy in it extends the leases.
func TestTaskOfACutOffWorkerIsNotStartedElsewhereWhileItsLeaseMayBeExtended(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.AllowExtension(id, "helper", c.now.Add(8*time.Second))
	c.advanceTime(7 * time.Second)
	assert.Equal(t, c.leaseExpirations(), 0)
	c.advanceTime(2 * time.Second)
	assert.Equal(t, c.leaseExpirations(), 1)
}

func TestTaskOfADeadWorkerIsGivenUpOnceItsLeaseIsNoLongerExtended(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.AllowExtension(id, "helper", c.now.Add(8*time.Second))
	c.engine.EndExtension(id, "helper", time.Time{})
	c.advanceTime(6400 * time.Millisecond)
	assert.Equal(t, c.leaseExpirations(), 1)
}

func TestExtendedLeaseHoldsAfterItsProxyStops(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.AllowExtension(id, "helper", c.now.Add(8*time.Second))
	c.engine.EndExtension(id, "helper", c.now.Add(7*time.Second))
	c.advanceTime(6800 * time.Millisecond)
	assert.Equal(t, c.leaseExpirations(), 0)
}

// Guards against forgetting the permission of an earlier lease proxy: the first proxy becomes unreachable, and a second one
// is chosen and reports that it has extended nothing.
func TestProxyCannotRevokeTheExtensionOfAnother(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.AllowExtension(id, "first", c.now.Add(8*time.Second))
	c.engine.AllowExtension(id, "second", c.now.Add(9*time.Second))
	c.engine.EndExtension(id, "second", time.Time{})
	c.advanceTime(7800 * time.Millisecond)
	assert.Equal(t, c.leaseExpirations(), 0, "the first proxy may still extend the lease")
	c.advanceTime(400 * time.Millisecond)
	assert.Equal(t, c.leaseExpirations(), 1, "neither proxy can extend the lease any more")
}
