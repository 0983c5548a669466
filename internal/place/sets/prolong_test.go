package sets_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"gotest.tools/v3/assert"
)

// cutOff starts one task and returns the worker that runs it, which then answers nothing; its lease ends after six seconds.
func newClusterWithCutOffWorker(t *testing.T) (*cluster, string) {
	t.Helper()
	c := newCluster(t, 2, 1)
	c.submit("long", planQueue, "beta", gang(1, 8))
	c.step()
	// By then no earlier owner's lease counts any more.
	c.advanceTime(15 * time.Second)
	for id := range c.workersOf("long") {
		c.silent[id] = true
		return c, id
	}
	t.Fatal("the task runs nowhere")
	return nil, ""
}

func (c *cluster) leaseExpirations() int {
	n := 0
	for _, note := range c.decisions {
		if note.What == sets.WorkerLapsed {
			n++
		}
	}
	return n
}

// The pattern: a data centre is cut off for seven seconds while an instance in it prolongs the leases.
func TestTaskOfACutOffWorkerIsNotStartedElsewhereWhileItsLeaseMayBeExtended(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.MayProlong(id, "helper", c.now.Add(8*time.Second))
	c.advanceTime(7 * time.Second)
	assert.Equal(t, c.leaseExpirations(), 0)
	c.advanceTime(2 * time.Second)
	assert.Equal(t, c.leaseExpirations(), 1)
}

func TestTaskOfADeadWorkerIsGivenUpOnceItsLeaseIsNoLongerExtended(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.MayProlong(id, "helper", c.now.Add(8*time.Second))
	c.engine.ProlongsNoLonger(id, "helper", time.Time{})
	c.advanceTime(6400 * time.Millisecond)
	assert.Equal(t, c.leaseExpirations(), 1)
}

func TestExtendedLeaseHoldsAfterItsProxyStops(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.MayProlong(id, "helper", c.now.Add(8*time.Second))
	c.engine.ProlongsNoLonger(id, "helper", c.now.Add(7*time.Second))
	c.advanceTime(6800 * time.Millisecond)
	assert.Equal(t, c.leaseExpirations(), 0)
}

// The pattern: the first helper falls silent, a second is chosen and says that it has prolonged nothing.
func TestProxyCannotRevokeTheExtensionOfAnother(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.MayProlong(id, "first", c.now.Add(8*time.Second))
	c.engine.MayProlong(id, "second", c.now.Add(9*time.Second))
	c.engine.ProlongsNoLonger(id, "second", time.Time{})
	c.advanceTime(7800 * time.Millisecond)
	assert.Equal(t, c.leaseExpirations(), 0, "the first may still act")
	c.advanceTime(400 * time.Millisecond)
	assert.Equal(t, c.leaseExpirations(), 1, "neither can")
}
