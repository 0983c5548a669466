package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// stoppedFor returns the tasks that were stopped for the job, in their order.
func (c *cluster) stoppedFor(job string) []string {
	var tasks []string
	for _, d := range c.decisions {
		if d.Kind == group.RunStopped && d.For == job {
			tasks = append(tasks, d.Task)
		}
	}
	return tasks
}

// Guards against repeated quick load that stops one task group again and again: it has just begun again each time, so it seemed to be the
// cheapest to stop.
func TestRepeatedQuickLoadDoesNotStopTheSameRunAgain(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("one", batchQueue, "beta", gang(1, 8))
	c.step()
	c.advanceTime(time.Second)
	c.submit("two", batchQueue, "beta", gang(1, 8))
	c.step()
	c.advanceTime(time.Second)
	c.submit("quick-a", quickQueue, "alpha", gang(1, 8))
	c.step()
	c.step()
	assert.DeepEqual(t, c.stoppedFor("quick-a"), []string{"two.0.0.0"})
	c.exitTask("quick-a.0.0.0", group.Done)
	c.step()
	assert.Equal(t, len(c.workersOf("two")), 1)
	c.advanceTime(400 * time.Millisecond)
	c.submit("quick-b", quickQueue, "alpha", gang(1, 8))
	c.step()
	assert.DeepEqual(t, c.stoppedFor("quick-b"), []string{"one.0.0.0"})
	assert.Equal(t, c.decisions[len(c.decisions)-1].Preemptions+c.decisions[len(c.decisions)-2].Preemptions, 1)
}

// Guards against quick load that makes a job miss its objective although another run could be stopped that would still meet its own.
func TestQuickLoadSparesARunThatWouldMissItsObjective(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("roomy", batchQueue, "beta", gang(1, 8))
	c.step()
	c.advanceTime(2 * time.Second)
	// Its objective is 25 s after its acceptance, of which 15.5 have passed.
	c.engine.Load(specOf("tight", planQueue, gang(1, 8)), nil, 15500*time.Millisecond, c.now, c.now)
	c.step()
	c.advanceTime(time.Second)
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.step()
	assert.DeepEqual(t, c.stoppedFor("quick"), []string{"roomy.0.0.0"})
}

// Guards against quick load that stops useful work although a run is worth nothing to its caller any more.
func TestQuickLoadStopsWorthlessRunsFirst(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.engine.Load(specOf("worthless", batchQueue, gang(1, 8)), nil, 200*time.Second, c.now, c.now)
	c.step()
	c.advanceTime(2 * time.Second)
	c.submit("useful", batchQueue, "beta", gang(1, 8))
	c.step()
	c.advanceTime(time.Second)
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.step()
	assert.DeepEqual(t, c.stoppedFor("quick"), []string{"worthless.0.0.0"})
}

// Guards against quick load that stops work of a more important queue although a stop of other work costs its caller as much.
func TestQuickLoadStopsLessImportantWorkFirst(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("batch", batchQueue, "beta", gang(1, 8))
	c.step()
	c.now = c.now.Add(100 * time.Millisecond)
	c.submit("plan", planQueue, "beta", gang(1, 8))
	c.step()
	c.now = c.now.Add(200 * time.Millisecond)
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.step()
	assert.DeepEqual(t, c.stoppedFor("quick"), []string{"batch.0.0.0"})
}

// specOf is the spec of a job of workspace beta.
func specOf(id, queue string, step work.Step) *work.Spec {
	return &work.Spec{Job: id, Queue: queue, Workspace: "beta", Steps: []work.Step{step}}
}
