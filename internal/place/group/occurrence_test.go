package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// submitRepeating submits a job with three occurrences of one task, four seconds apart, the first due in a second; record
// may be nil.
func (c *cluster) submitRepeating(record *work.Record) *group.Job {
	wall := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	spec := &work.Spec{
		Job: "nightly", Queue: planQueue, Steps: []work.Step{gang(1, 1)},
		Repeat: &work.Repeat{Count: 3, Start: wall.Add(time.Second), Interval: 4 * time.Second},
	}
	return c.engine.Load(spec, record, 0, c.now, wall)
}

func (c *cluster) isRunning(task string) bool {
	for _, tasks := range c.running {
		if _, ok := tasks[task]; ok {
			return true
		}
	}
	return false
}

// Guards against occurrences that start early, in a job that is submitted long before its first one.
func TestNoTurnStartsBeforeItsTime(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.submitRepeating(nil)
	began := c.now
	starts := make(map[string]time.Duration)
	for c.now.Sub(began) < 12*time.Second {
		c.advanceTime(200 * time.Millisecond)
		for _, task := range []string{"nightly.0.0.0", "nightly.1.0.0", "nightly.2.0.0"} {
			if _, seen := starts[task]; !seen && c.isRunning(task) {
				starts[task] = c.now.Sub(began)
			}
		}
	}
	// Occurrences overlap, as none of the tasks has exited.
	assert.DeepEqual(t, starts, map[string]time.Duration{"nightly.0.0.0": time.Second, "nightly.1.0.0": 5 * time.Second, "nightly.2.0.0": 9 * time.Second})
	assert.Equal(t, job.Record.Phase, work.Running)
	for task := range starts {
		assert.Equal(t, job.Record.Phase, work.Running)
		c.exitTask(task, group.Done)
	}
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
}

func TestNewOwnerDistinguishesOccurrences(t *testing.T) {
	c := newCluster(t, 1, 2)
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Done: true}, {Run: 2, Workers: []string{"w0-0"}}, {}}}
	job := c.submitRepeating(record)
	c.running["w0-0"]["nightly.1.0.0"] = group.RunningEntry{Task: "nightly.1.0.0", Run: 2}
	c.pollAll()
	c.step()
	assert.Equal(t, len(c.stops), 0)
	c.exitTask("nightly.1.0.0", group.Done)
	c.step()
	assert.Equal(t, job.Record.Phase, work.Running, "the last occurrence is still due")
	c.advanceTime(9 * time.Second)
	assert.Assert(t, c.isRunning("nightly.2.0.0"))
}

// Guards against further occurrences of a job that was cancelled between two of them.
func TestCancelledJobHasNoFurtherOccurrence(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submitRepeating(nil)
	c.advanceTime(2 * time.Second)
	c.exitTask("nightly.0.0.0", group.Done)
	c.engine.Cancel("nightly", c.now)
	c.advanceTime(12 * time.Second)
	assert.DeepEqual(t, c.workersOf("nightly"), map[string]int{})
}
