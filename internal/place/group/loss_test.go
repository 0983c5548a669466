package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// setPercent sets the progress that the worker of the task reports.
func (c *cluster) setPercent(task string, percent int) {
	c.t.Helper()
	for _, tasks := range c.running {
		if entry, ok := tasks[task]; ok {
			entry.Percent = percent
			tasks[task] = entry
			return
		}
	}
	c.t.Fatalf("task %s runs on no worker", task)
}

// pollIn moves the clock and polls all workers, without a decision.
func (c *cluster) pollIn(d time.Duration) {
	c.now = c.now.Add(d)
	c.pollAll()
}

// Guards against quick load that stops the work which is furthest after a change of owner: the new owner counted the work of
// inherited runs from the time when it loaded them.
func TestQuickLoadAfterAChangeOfOwnerStopsWorkThatHasJustBegun(t *testing.T) {
	c := newCluster(t, 1, 2)
	spec := &work.Spec{Job: "old", Queue: batchQueue, Workspace: "beta", Steps: []work.Step{gang(1, 8)}}
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Workers: []string{"w0-0"}}}}
	c.submit("new", batchQueue, "beta", gang(1, 8))
	c.step()
	assert.Equal(t, c.workersOf("new")["w0-0"], 1)
	c.pollIn(time.Second)
	record.Groups[0].Workers[0] = "w0-1"
	c.engine.Load(spec, record, 0, c.now, c.now)
	c.running["w0-1"]["old.0.0.0"] = group.RunningEntry{Task: "old.0.0.0", Run: 1, Percent: 60}
	c.pollAll()
	c.step()
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.step()
	assert.Equal(t, len(c.stops), 1)
	assert.Equal(t, c.stops[0].Task, "new.0.0.0")
}

// nearlyDone returns a cluster of one worker, on which a task of 8 s has 92 percent at its measured rate of 20 percent a second.
func nearlyDone(t *testing.T) *cluster {
	c := newCluster(t, 1, 1)
	c.submit("long", batchQueue, "beta", gang(1, 8))
	c.step()
	for _, percent := range []int{72, 82, 92} {
		c.pollIn(500 * time.Millisecond)
		c.setPercent("long.0.0.0", percent)
		c.pollAll()
	}
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.step()
	return c
}

// Guards against quick load that discards the whole work of runs which end before their stop would take effect.
func TestQuickLoadAwaitsRunsThatEndBeforeTheirStop(t *testing.T) {
	c := nearlyDone(t)
	assert.Equal(t, len(c.stops), 0)
	c.pollIn(400 * time.Millisecond)
	c.exitTask("long.0.0.0", group.Done)
	c.step()
	assert.Equal(t, len(c.workersOf("quick")), 1)
	assert.Equal(t, len(c.stops), 0)
}

// Guards against a guaranteed job that waits for longer than a stop takes because a run slows down just before its end.
func TestQuickLoadStopsARunThatDoesNotEndInTime(t *testing.T) {
	c := nearlyDone(t)
	c.pollIn(400 * time.Millisecond)
	c.step()
	assert.Equal(t, len(c.stops), 0)
	c.pollIn(100 * time.Millisecond)
	c.step()
	c.step()
	assert.Equal(t, len(c.stops), 1)
	assert.Equal(t, len(c.workersOf("quick")), 1)
}

// Guards against a quick job below the cap of its workspace that stops a run of the workspace which is about to end, or awaits it for
// longer than a stop takes.
func TestQuickLoadBelowACapAwaitsRunsThatEndBeforeTheirStop(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.engine.SetPolicy(group.Policy{Workspaces: []group.Workspace{{Name: "alpha", Guaranteed: 8, Cap: group.Resources{Accelerators: 8}}}})
	c.submit("long", batchQueue, "alpha", gang(1, 8))
	c.step()
	for _, percent := range []int{72, 82, 92} {
		c.pollIn(500 * time.Millisecond)
		c.setPercent("long.0.0.0", percent)
		c.pollAll()
	}
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.step()
	c.pollIn(400 * time.Millisecond)
	c.step()
	assert.Equal(t, len(c.stops), 0)
	c.pollIn(500 * time.Millisecond)
	c.step()
	c.step()
	assert.Equal(t, len(c.stops), 1)
	assert.Equal(t, len(c.workersOf("quick")), 1)
}
