package group_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// runUntilCrash lets the task run for the time, and then crashes its worker; it reports false if the task does not run within a while.
func (c *cluster) runUntilCrash(task string, ran, within time.Duration) bool {
	c.t.Helper()
	for began := c.now; c.workerOf(task) == ""; c.advanceTime(200 * time.Millisecond) {
		if c.now.Sub(began) > within {
			return false
		}
	}
	c.advanceTime(ran)
	c.crash(c.workerOf(task))
	return true
}

// Guards against a long-running job that is given up for crashes of workers (LOST, review/7): the only worker with its label crashes every
// ten seconds.
func TestLongRunningTaskIsRestartedAfterAnyNumberOfCrashes(t *testing.T) {
	c := newCluster(t, 2, 4)
	c.label("w1-3")
	job := c.submit("serve", batchQueue, "beta", requiring(longRunning(1)))
	c.step()
	for n := range 8 {
		assert.Assert(t, c.runUntilCrash("serve.0.0.0", 10200*time.Millisecond, 3*time.Second), "crash %d", n)
	}
	assert.Equal(t, job.Record.Phase, work.Running)
}

// Guards against a long-running job that is given up as it crashes each worker at once, and against one that takes down worker after
// worker: five minutes of it.
func TestLongRunningTaskThatCrashesWorkersRunsAtGrowingIntervals(t *testing.T) {
	c := newCluster(t, 2, 4)
	job := c.submit("deadly", batchQueue, "beta", longRunning(1))
	sound := c.submit("sound", batchQueue, "beta", longRunning(4))
	c.step()
	var crashes []time.Time
	for began := c.now; c.now.Sub(began) < 5*time.Minute; c.advanceTime(200 * time.Millisecond) {
		worker := c.workerOf("deadly.0.0.0")
		if worker == "" {
			continue
		}
		if len(crashes) > 1 {
			assert.Equal(t, len(c.running[worker]), 1, "PROBATION: something runs beside it")
		}
		crashes = append(crashes, c.now)
		c.crash(worker)
	}
	assert.Equal(t, job.Record.Phase, work.Running)
	assert.Equal(t, sound.Record.Phase, work.Running)
	assert.Assert(t, len(crashes) >= 8 && len(crashes) <= 12, "%d crashes", len(crashes))
	last := crashes[len(crashes)-1].Sub(crashes[len(crashes)-2])
	assert.Assert(t, last >= time.Minute && last <= 65*time.Second, "the last two are %s apart", last)
}

// Guards against a long-running gang that takes down worker after worker, as gangs are placed by other code.
func TestLongRunningGangThatCrashesWorkersRunsAtGrowingIntervals(t *testing.T) {
	c := newCluster(t, 2, 4)
	step := gang(2, 8)
	step.LongRunning = true
	job := c.submit("deadly", batchQueue, "beta", step)
	c.step()
	crashes := 0
	for began := c.now; c.now.Sub(began) < 5*time.Minute; c.advanceTime(200 * time.Millisecond) {
		if worker := c.workerOf("deadly.0.0.1"); worker != "" {
			crashes++
			c.crash(worker)
		}
	}
	assert.Equal(t, job.Record.Phase, work.Running)
	assert.Assert(t, crashes >= 6 && crashes <= 12, "%d crashes", crashes)
}

// Guards against a job that takes down a fleet with many tasks, each of which crashes its worker: they share the interval.
func TestDeadlyTasksOfOneLongRunningJobShareTheInterval(t *testing.T) {
	c := newCluster(t, 2, 4)
	job := c.submit("deadly", batchQueue, "beta", longRunning(6))
	c.step()
	crashes := 0
	play := func(d time.Duration) {
		for began := c.now; c.now.Sub(began) < d; c.advanceTime(200 * time.Millisecond) {
			for n := range 6 {
				if worker := c.workerOf(fmt.Sprintf("deadly.0.0.%d", n)); worker != "" {
					crashes++
					c.crash(worker)
				}
			}
		}
	}
	play(10 * time.Minute)
	crashes = 0
	play(5 * time.Minute)
	assert.Equal(t, job.Record.Phase, work.Running)
	assert.Assert(t, crashes >= 4 && crashes <= 6, "%d crashes in five minutes", crashes)
}

// Guards against jobs that are shown as failed without cause: workers crash under a long task over its life, each time after it has run
// for a while. One that crashes its workers within seconds is found.
func TestOnlyCrashesSoonAfterAStartFailAJob(t *testing.T) {
	for ran, phase := range map[time.Duration]work.Phase{3 * time.Second: work.Failed, 8 * time.Second: work.Failed, 12 * time.Second: work.Running} {
		t.Run(ran.String(), func(t *testing.T) {
			c := newCluster(t, 2, 4)
			job := c.submit("long", batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Hour})
			c.step()
			for n := 0; n < 6 && c.runUntilCrash("long.0.0.0", ran, 3*time.Second); n++ {
				assert.Assert(t, n < 4 || phase == work.Running, "started after %d crashes", n)
			}
			assert.Equal(t, job.Record.Phase, phase)
		})
	}
}

// Guards against crashes that add up although a long run lies between them.
func TestLongRunClearsATaskOfEarlierCrashes(t *testing.T) {
	c := newCluster(t, 2, 4)
	job := c.submit("long", batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Hour})
	c.step()
	for n, ran := range []time.Duration{3 * time.Second, 3 * time.Second, 3 * time.Second, 12 * time.Second, 3 * time.Second, 3 * time.Second, 3 * time.Second} {
		assert.Assert(t, c.runUntilCrash("long.0.0.0", ran, 3*time.Second), "crash %d", n)
	}
	assert.Equal(t, job.Record.Phase, work.Running)
	assert.Equal(t, job.Record.Groups[0].CrashesOf(0).Count, 3)
}

// Guards against jobs that are shown as failed without cause: all workers crash every few seconds, whatever runs there. If the others drain
// and are shut down instead, the crashes under the task tell of it.
func TestCrashesAsFrequentAsEverywhereDoNotFailAJob(t *testing.T) {
	for draining, phase := range map[bool]work.Phase{false: work.Running, true: work.Failed} {
		t.Run(fmt.Sprint("the others drain: ", draining), func(t *testing.T) {
			c := newCluster(t, 2, 4)
			job := c.submit("sound", batchQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Hour})
			c.step()
			for range 12 {
				c.restartIdle(draining)
				if !c.runUntilCrash("sound.0.0.0", 3*time.Second, 3*time.Second) {
					break
				}
			}
			assert.Equal(t, job.Record.Phase, phase)
		})
	}
}

// restartIdle restarts all workers without tasks, as they crash or after they have drained.
func (c *cluster) restartIdle(draining bool) {
	for _, info := range c.infos {
		if len(c.running[info.ID]) > 0 {
			continue
		}
		c.setDraining(info.ID, draining)
		c.restart(info.ID, c.incarnationOf(info.ID)+1)
		c.engine.SetWorkers(c.infos, c.now)
		c.setDraining(info.ID, false)
	}
	c.pollAll()
}

func (c *cluster) setDraining(id string, draining bool) {
	for i := range c.infos {
		if c.infos[i].ID == id {
			c.infos[i].Draining = draining
		}
	}
	c.engine.SetWorkers(c.infos, c.now)
}

// Guards against a new owner that starts a task that crashes its workers at once, as it does not know when the last crash was. The record
// is that of an earlier release.
func TestNextOwnerDelaysALongRunningTaskThatCrashesWorkers(t *testing.T) {
	record, err := work.DecodeRecord([]byte(`{"phase":"running","change":3,"sets":[{"run":9,"mayCrash":true,"crashes":[{"count":6,"suspected":5,"run":9}]}]}`))
	assert.NilError(t, err)
	c := newCluster(t, 1, 2)
	c.engine.Load(&work.Spec{Job: "deadly", Queue: batchQueue, Steps: []work.Step{longRunning(1)}}, record, 0, c.now, c.now)
	c.advanceTime(15 * time.Second)
	assert.Equal(t, len(c.workersOf("deadly")), 0)
	assert.Equal(t, c.standing().State, group.StandsRetry)
	c.advanceTime(1400 * time.Millisecond)
	assert.Equal(t, len(c.workersOf("deadly")), 1)
}
