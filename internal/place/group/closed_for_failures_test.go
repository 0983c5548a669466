package group_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// submitTo submits jobs of one task of an hour that run on the only worker of a rack.
func (c *cluster) submitTo(rack string, jobs ...string) {
	for _, job := range jobs {
		step := single(1, 1)
		step.Requires, step.Estimate = rack, time.Hour
		c.submit(job, batchQueue, "beta", step)
	}
	c.step()
}

// failOne fails the first task of each of the jobs.
func (c *cluster) failOne(jobs ...string) {
	for _, job := range jobs {
		c.exitTask(job+".0.0.0", group.Failed)
	}
	c.step()
}

// avoided counts the workers that get no new tasks after failures.
func (c *cluster) avoided() (n int) {
	for _, w := range c.engine.Workers() {
		if c.engine.Avoided(w, c.now) {
			n++
		}
	}
	return n
}

// Guards against a faulty worker that is opened instead of one on which a single job fails: one of four workers may be closed.
func TestWorkerOnWhichMostJobsFailStaysClosed(t *testing.T) {
	c := newCluster(t, 4, 1)
	c.submitTo("r0", "a", "b", "c")
	c.submitTo("r1", "d")
	c.advanceTime(time.Second)
	c.failOne("d")
	assert.Assert(t, c.engine.Avoided(c.engine.Worker("w1-0"), c.now))
	c.failOne("a", "b", "c")
	assert.Assert(t, c.engine.Avoided(c.engine.Worker("w0-0"), c.now))
	assert.Assert(t, !c.engine.Avoided(c.engine.Worker("w1-0"), c.now))
}

// Guards against a worker that stays closed as the tasks that it had fail one after the other: they tell nothing about its state since.
func TestTasksFromBeforeAPauseDoNotProlongIt(t *testing.T) {
	c := newCluster(t, 4, 1)
	jobs := []string{"a", "b", "c", "d", "e"}
	c.submitTo("r0", jobs...)
	c.advanceTime(time.Second)
	c.failOne("a", "b")
	c.advanceTime(5 * time.Second)
	assert.Assert(t, c.engine.Avoided(c.engine.Worker("w0-0"), c.now))
	c.failOne("c", "d", "e")
	c.advanceTime(1200 * time.Millisecond)
	assert.Assert(t, !c.engine.Avoided(c.engine.Worker("w0-0"), c.now))
}

// Guards against faulty workers that are opened as a job fails on more of them than may be closed (two of eight), though it runs or
// succeeds on most others; and against workers that are closed for a job that fails on as many as it runs on.
func TestFailuresTellOfWorkersIfTheJobRunsSoundlyOnMost(t *testing.T) {
	for sound, closed := range map[int]int{0: 0, 3: 0, 4: 2} {
		for _, succeed := range []bool{false, true} {
			t.Run(fmt.Sprint(sound, " sound workers, tasks that succeed: ", succeed), func(t *testing.T) {
				c := newCluster(t, 8, 1)
				step := single(3+sound, 1)
				step.MaxPerWorker, step.Estimate = 1, time.Hour
				c.submit("wide", quickQueue, "beta", step)
				c.advanceTime(1400 * time.Millisecond)
				assert.Equal(t, len(c.workersOf("wide")), 3+sound)
				for n := 3; n < 3+sound && succeed; n++ {
					c.exitTask(fmt.Sprintf("wide.0.0.%d", n), group.Done)
				}
				for n := range 3 {
					c.exitTask(fmt.Sprintf("wide.0.0.%d", n), group.Failed)
				}
				c.step()
				assert.Equal(t, c.avoided(), closed)
				lines := 0
				for _, d := range c.decisions {
					if d.Kind == group.WorkerAvoided {
						lines++
					}
				}
				assert.Equal(t, lines, 2+closed/2, "the log names a worker as avoided that stays open")
			})
		}
	}
}

// Guards against a worker that is opened instead of one of those on which a single job fails: three of twelve workers may be closed.
func TestJobThatFailsOnSeveralWorkersTellsLessOfEach(t *testing.T) {
	c := newCluster(t, 12, 1)
	whole := single(1, 8)
	whole.Requires, whole.Estimate = "r0", time.Hour
	c.submit("only-here", batchQueue, "beta", whole)
	c.step()
	step := single(3, 1)
	step.MaxPerWorker, step.Estimate, step.LongRunning = 1, time.Hour, true
	c.submit("wide", batchQueue, "beta", step)
	c.advanceTime(time.Second)
	for n := range 3 {
		c.exitTask(fmt.Sprintf("wide.0.0.%d", n), group.Failed)
	}
	c.advanceTime(200 * time.Millisecond)
	assert.Equal(t, c.avoided(), 3)
	c.failOne("only-here")
	assert.Equal(t, c.avoided(), 3)
	assert.Assert(t, c.engine.Avoided(c.engine.Worker("w0-0"), c.now))
}
