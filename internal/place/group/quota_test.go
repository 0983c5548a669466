package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// setCaps sets the caps of workspaces in accelerators, beside the guarantee of alpha.
func (c *cluster) setCaps(caps map[string]int) {
	workspaces := []group.Workspace{{Name: "alpha", Guaranteed: 16}, {Name: "beta"}, {Name: "gamma"}}
	for i := range workspaces {
		workspaces[i].Cap.Accelerators = caps[workspaces[i].Name]
	}
	c.engine.SetPolicy(group.Policy{Workspaces: workspaces})
}

// runningOf returns how many tasks of the jobs run.
func (c *cluster) runningOf(jobs ...string) int {
	n := 0
	for _, job := range jobs {
		for _, tasks := range c.workersOf(job) {
			n += tasks
		}
	}
	return n
}

func tasks(count, accelerators int) work.Step {
	return work.Step{Count: count, MilliCores: 1000, MemoryMB: 1000, Accelerators: accelerators, Estimate: 8 * time.Second}
}

// Guards against a workspace that runs more than its cap while the fleet has room (QUOTA), for each kind of resource.
func TestWorkspaceRunsNoMoreThanItsCap(t *testing.T) {
	for name, limit := range map[string]group.Resources{"cores": {MilliCores: 5500}, "memory": {MemoryMB: 5000}, "accelerators": {Accelerators: 5}, "none": {}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 4)
			c.engine.SetPolicy(group.Policy{Workspaces: []group.Workspace{{Name: "beta", Cap: limit}}})
			c.submit("one", batchQueue, "beta", tasks(8, 1))
			c.submit("two", planQueue, "beta", gang(2, 1))
			c.submit("other", batchQueue, "gamma", tasks(8, 1))
			c.advanceTime(time.Second)
			want := 5
			if limit == (group.Resources{}) {
				want = 10
			}
			assert.Equal(t, c.runningOf("one", "two"), want)
			assert.Equal(t, c.runningOf("other"), 8)
			for task := c.oldestTask("one"); task != ""; task = c.oldestTask("one") {
				c.exitTask(task, group.Done)
				c.step()
				assert.Assert(t, c.runningOf("one", "two") <= want)
			}
		})
	}
}

// Guards against a start above the cap while a task of the workspace may still be alive (QUOTA): its stop is not acknowledged, its
// worker is silent, or its start was given up without an answer.
func TestTasksThatMayBeAliveCountAgainstTheCap(t *testing.T) {
	type trouble struct {
		cause func(*cluster, *group.Member)
		// runs is how many tasks run in the end, the one on the silent worker included.
		runs int
	}
	for name, tr := range map[string]trouble{
		"stopping": {runs: 2, cause: func(c *cluster, m *group.Member) {
			c.silent[m.Worker.ID] = true
			c.engine.Cancel("old", c.now)
		}},
		"silent": {runs: 2, cause: func(c *cluster, m *group.Member) { c.silent[m.Worker.ID] = true }},
		// The start may still be executed by a later incarnation of the worker.
		"abandoned": {runs: 1, cause: func(c *cluster, m *group.Member) {
			m.MarkUnanswered()
			c.engine.ApplyStartResult(m, group.Unconfirmed, c.now)
			c.silent[m.Worker.ID] = true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 4)
			c.setCaps(map[string]int{"beta": 4})
			c.submit("old", planQueue, "beta", gang(1, 4))
			c.step()
			tr.cause(c, c.members["old.0.0.0"])
			c.submit("new", planQueue, "beta", gang(1, 4))
			c.advanceTime(4 * time.Second)
			assert.Equal(t, c.runningOf("new"), 0)
			c.advanceTime(12 * time.Second)
			assert.Equal(t, c.runningOf("new")+c.runningOf("old"), tr.runs)
		})
	}
}

// Guards against a start above the cap beside a start that was given up without an answer and may be executed late (QUOTA).
func TestAbandonedStartCountsAgainstTheCap(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.setCaps(map[string]int{"beta": 4})
	c.submit("old", planQueue, "beta", gang(1, 4))
	order := c.lastStartOrder()
	order.Member.MarkSent()
	order.Member.MarkUnanswered()
	// The order is executed late, if ever: the worker answers polls and doesn't list the task.
	c.now = c.now.Add(100 * time.Millisecond)
	c.poll(order.Worker)
	c.engine.Cancel("old", c.now)
	c.submit("new", planQueue, "beta", gang(1, 4))
	c.silent[order.Worker] = true
	c.advanceTime(3 * time.Second)
	assert.Equal(t, c.runningOf("new"), 0)
}

// Guards against a start above the cap beside a run that a worker lists and no record has (QUOTA), as after an owner that was lost
// before its record was written.
func TestRunWithoutARecordCountsAgainstTheCap(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.setCaps(map[string]int{"beta": 4})
	c.submit("old", planQueue, "beta", gang(1, 4))
	c.running["w0-0"]["old.0.0.0"] = group.RunningEntry{Task: "old.0.0.0", Run: 7}
	c.poll("w0-0")
	c.silent["w0-0"] = true
	c.submit("new", planQueue, "beta", gang(1, 4))
	c.advanceTime(2 * time.Second)
	assert.Equal(t, c.runningOf("new"), 0)
}

// Guards against starts above the cap after a handover (QUOTA): an earlier owner has recorded runs, and the exit that made way for the
// last of them is not on record.
func TestInheritedStartIsNotSentAboveTheCap(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.setCaps(map[string]int{"beta": 4})
	load := func(id, worker string) {
		record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Workers: []string{worker}}}}
		c.engine.Load(&work.Spec{Job: id, Workspace: "beta", Queue: planQueue, Steps: []work.Step{gang(1, 4)}}, record, 0, c.now, c.now)
	}
	load("job-old", "w0-0")
	load("job-new", "w0-1")
	c.running["w0-0"]["job-old.0.0.0"] = group.RunningEntry{Task: "job-old.0.0.0", Run: 1}
	c.pollAll()
	c.step()
	assert.Equal(t, c.runningOf("job-new"), 0)
	c.exitTask("job-old.0.0.0", group.Done)
	c.step()
	assert.Equal(t, c.runningOf("job-new"), 1)
}

// Guards against starts above a cap that was lowered while they were planned or waited to be sent (QUOTA), and against stopping what
// already runs: the operator lowered what may start.
func TestLoweredCapWithdrawsWhatHasNotStarted(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.setCaps(map[string]int{"beta": 8})
	c.submit("old", planQueue, "beta", gang(1, 4))
	c.step()
	c.submit("new", planQueue, "beta", gang(1, 4))
	order := c.lastStartOrder()
	c.setCaps(map[string]int{"beta": 5})
	assert.Assert(t, !order.Member.StartFits())
	// The withdrawn run no longer counts, so that what fits starts at once.
	c.submit("small", planQueue, "beta", gang(1, 1))
	c.step()
	assert.Equal(t, c.runningOf("small"), 1)
	c.advanceTime(2 * time.Second)
	assert.Equal(t, c.runningOf("new"), 0)
	assert.Equal(t, c.runningOf("old"), 1)
	c.exitTask("small.0.0.0", group.Done)
	c.setCaps(map[string]int{"beta": 8})
	c.advanceTime(time.Second)
	assert.Equal(t, c.runningOf("new"), 1)
}

// Guards against a cap that no longer holds as the operators have removed its workspace, or as the owner has never seen it.
func TestRemovedWorkspaceKeepsItsCap(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.setCaps(map[string]int{"beta": 4})
	c.submit("seen", batchQueue, "beta", tasks(8, 1))
	c.engine.SetPolicy(group.Policy{})
	spec := &work.Spec{Job: "unseen", Workspace: "gone", Queue: batchQueue, Steps: []work.Step{tasks(8, 1)}, Config: &work.QueueConfig{Cap: &work.Cap{Accelerators: 3}}}
	c.engine.Load(spec, nil, 0, c.now, c.now)
	c.advanceTime(time.Second)
	assert.Equal(t, c.runningOf("seen"), 4)
	assert.Equal(t, c.runningOf("unseen"), 3)
}

// Guards against quick jobs within their guarantee that wait for work of lower priority of their own workspace, which is at its cap
// (RECLAIM), and against stopping work of other workspaces, which would not help.
func TestQuickJobTakesTheCapFromOtherWorkOfItsWorkspace(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.setCaps(map[string]int{"alpha": 16})
	c.submit("batch", batchQueue, "alpha", tasks(16, 1))
	c.step()
	assert.Equal(t, c.runningOf("batch"), 16)
	// A stop of the other workspace's work would cost less, as it has just begun.
	c.advanceTime(2 * time.Second)
	c.submit("other", batchQueue, "beta", tasks(8, 1))
	c.step()
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.advanceTime(time.Second)
	assert.Equal(t, c.runningOf("quick"), 1)
	assert.Equal(t, c.runningOf("batch"), 8)
	assert.Equal(t, c.runningOf("other"), 8)
	assert.Equal(t, len(c.stops), 8)
}

// Guards against work of a workspace that takes back the room which it has just left to a quick job, while other stops are awaited.
func TestRoomThatIsFreedBelowTheCapIsKeptForItsQuickJob(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.setCaps(map[string]int{"alpha": 16})
	c.submit("batch", batchQueue, "alpha", tasks(32, 1))
	c.step()
	slow := ""
	for _, info := range c.infos {
		if len(c.running[info.ID]) > 0 {
			slow = info.ID
		}
	}
	c.advanceTime(time.Second)
	c.silent[slow] = true
	c.submit("quick", quickQueue, "alpha", gang(1, 8))
	c.submit("more", quickQueue, "alpha", gang(1, 4))
	c.advanceTime(600 * time.Millisecond)
	delete(c.silent, slow)
	c.advanceTime(time.Second)
	assert.Equal(t, c.runningOf("quick"), 1)
	assert.Equal(t, c.runningOf("more"), 1)
	assert.Equal(t, len(c.stops), 12)
}

// Guards against stopping and starting the same tasks again and again: quick work that can't start although its workspace has made way
// for it below the cap, as its workers are full, and several quick jobs that count on the same stops.
func TestWorkThatMakesWayBelowTheCapIsNotStoppedAgainAndAgain(t *testing.T) {
	c := newCluster(t, 1, 4)
	for i := range c.infos {
		if i > 0 {
			c.infos[i].Labels = append(c.infos[i].Labels, "large")
		}
	}
	c.engine.SetWorkers(c.infos, c.now)
	c.setCaps(map[string]int{"beta": 16, "gamma": 24})
	large := tasks(3, 8)
	large.Requires, large.LongRunning = "large", true
	c.submit("busy", quickQueue, "gamma", large)
	c.step()
	assert.Equal(t, c.runningOf("busy"), 3)
	c.submit("batch", batchQueue, "beta", tasks(8, 1))
	c.setCaps(map[string]int{"beta": 8, "gamma": 24})
	c.step()
	for _, id := range []string{"quick-1", "quick-2"} {
		quick := gang(1, 4)
		quick.Requires = "large"
		c.submit(id, quickQueue, "beta", quick)
	}
	c.advanceTime(2 * time.Second)
	assert.Assert(t, len(c.stops) <= 8, "%d stops", len(c.stops))
}

// Guards against a gang, or a large task, that small tasks of its own workspace overtake for ever, as each end makes room below the cap
// for just one of them.
func TestLargeWorkBelowTheCapIsNotOvertakenForever(t *testing.T) {
	for name, step := range map[string]work.Step{"gang": gang(8, 1), "task": tasks(1, 8)} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 4)
			c.setCaps(map[string]int{"beta": 16})
			c.submit("flood", batchQueue, "beta", tasks(400, 1))
			c.step()
			c.submit("wide", batchQueue, "beta", step)
			for ends := 0; c.runningOf("wide") == 0; ends++ {
				assert.Assert(t, ends < 60, "it does not run after %d ends", ends)
				c.advanceTime(200 * time.Millisecond)
				c.exitTask(c.oldestTask("flood"), group.Done)
			}
			assert.Equal(t, c.runningOf("wide"), step.Count)
		})
	}
}

// Guards against room that stands empty for a capped job: a gang that waits for its cap must not keep a reservation from others.
func TestCappedGangReservesNothing(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.setCaps(map[string]int{"beta": 8})
	c.submit("old", planQueue, "beta", gang(1, 8))
	c.step()
	c.submit("waits", planQueue, "beta", gang(1, 8))
	c.advanceTime(6 * time.Second)
	c.submit("other", batchQueue, "gamma", tasks(8, 1))
	c.step()
	assert.Equal(t, c.runningOf("other"), 8)
	assert.Equal(t, c.runningOf("waits"), 0)
	standing := c.engine.Standing(c.now)
	assert.Equal(t, len(standing), 1)
	assert.Equal(t, standing[0].State, group.StandsCapped)
}

// Guards against a reservation that outlives the cap it was made under.
func TestLoweredCapDropsReservations(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.setCaps(map[string]int{"beta": 8})
	c.submit("busy", batchQueue, "gamma", gang(1, 8))
	c.step()
	c.submit("waits", planQueue, "beta", gang(2, 4))
	c.advanceTime(6 * time.Second)
	c.setCaps(map[string]int{"beta": 4})
	c.exitTask("busy.0.0.0", group.Done)
	c.advanceTime(2 * time.Second)
	assert.Equal(t, c.runningOf("waits"), 0)
	c.submit("other", batchQueue, "gamma", tasks(8, 1))
	c.step()
	assert.Equal(t, c.runningOf("other"), 8)
}

// Guards against a workspace with a flood of jobs that takes the room of the others while all is full: by weight, it comes after those
// below their share.
func TestWorkspaceAboveItsShareComesLast(t *testing.T) {
	for name, weights := range map[string][2]float64{"equal": {1, 1}, "none": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 4)
			c.engine.SetPolicy(group.Policy{Workspaces: []group.Workspace{{Name: "beta", Weight: weights[0]}, {Name: "gamma", Weight: weights[1]}}})
			c.submit("flood", batchQueue, "beta", tasks(200, 1))
			c.advanceTime(time.Second)
			c.submit("few", batchQueue, "gamma", tasks(4, 1))
			for range 4 {
				c.exitTask(c.oldestTask("flood"), group.Done)
				c.advanceTime(200 * time.Millisecond)
			}
			want := 4
			if weights[0] == 0 {
				want = 0
			}
			assert.Equal(t, c.runningOf("few"), want)
		})
	}
}

// Guards against accepting what can never run: a gang or a task that is larger than the cap.
func TestAboveCap(t *testing.T) {
	limit := group.Resources{Accelerators: 8}
	for name, c := range map[string]struct {
		step   work.Step
		reason bool
	}{
		"wide step": {tasks(20, 1), false}, "task": {tasks(1, 9), true}, "gang": {gang(9, 1), true}, "fitting gang": {gang(8, 1), false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, group.AboveCap(&work.Spec{Steps: []work.Step{c.step}}, limit) != "", c.reason)
			assert.Equal(t, group.AboveCap(&work.Spec{Steps: []work.Step{c.step}}, group.Resources{}), "")
		})
	}
}
