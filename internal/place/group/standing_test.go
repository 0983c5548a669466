package group_test

import (
	"math"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// standing returns the only job that stands.
func (c *cluster) standing() group.Standing {
	c.t.Helper()
	list := c.engine.Standing(c.now)
	assert.Equal(c.t, len(list), 1)
	return list[0]
}

// watch advances the time in seconds, as the owner asks for the jobs that stand once a second.
func (c *cluster) watch(seconds int) {
	for range seconds {
		c.engine.Standing(c.now)
		c.advanceTime(time.Second)
	}
}

// Guards against a job that stands without a line that names the lost worker on which its run counts as alive, until when, and by
// which lease; the step behind it is traced to that task.
func TestStandingJobNamesTheLostWorkerThatHoldsIt(t *testing.T) {
	c := newCluster(t, 2, 1)
	second := gang(1, 8)
	second.After = []int{0}
	c.submit("long", planQueue, "beta", gang(1, 8), second)
	c.step()
	c.watch(15)
	var lost string
	for id := range c.workersOf("long") {
		lost = id
	}
	c.silent[lost] = true
	silentAt := c.now
	c.watch(5)
	s := c.standing()
	assert.Equal(t, s.State, group.StandsHeld)
	assert.Equal(t, s.Worker, lost)
	assert.Equal(t, s.Task, "long.0.0.0")
	assert.Equal(t, s.Run, 1)
	assert.Equal(t, s.Behind, 1)
	assert.Equal(t, s.Why, "its lease has not expired")
	assert.Equal(t, s.Remaining, silentAt.Add(6*time.Second).Sub(c.now))
	assert.Equal(t, s.Lasted, c.now.Sub(silentAt))
	assert.Equal(t, s.Fleet.Workers, 2)
	assert.Equal(t, s.Fleet.Open, 1)
	assert.DeepEqual(t, s.Fleet.Excluded, map[group.Exclusion]int{group.ExcludedSilent: 1})
}

// Guards against a wait for a lease proxy that the line blames on the worker's own lease.
func TestStandingJobNamesTheLeaseProxyThatHoldsItsWorker(t *testing.T) {
	c, id := newClusterWithCutOffWorker(t)
	c.engine.AllowExtension(id, "helper", c.now.Add(30*time.Second))
	c.watch(8)
	s := c.standing()
	assert.Equal(t, s.State, group.StandsHeld)
	assert.Equal(t, s.Why, "a lease proxy may extend its lease")
	assert.Equal(t, s.Remaining, 22*time.Second)
}

// Guards against a change of owner that prolongs waits unseen: runs of earlier owners on workers that never answer.
func TestStandingJobNamesTheWorkerOfAnEarlierOwnersRun(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.engine.Load(&work.Spec{Job: "old", Queue: planQueue, Steps: []work.Step{gang(1, 8)}},
		&work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 4, Workers: []string{"gone"}}}}, 0, c.now, c.now)
	c.step()
	assert.DeepEqual(t, c.engine.Inheritance(c.now), group.Inheritance{Workers: 1, Tasks: 1, Longest: 15 * time.Second})
	c.watch(4)
	s := c.standing()
	assert.Equal(t, s.State, group.StandsHeld)
	assert.Equal(t, s.Worker, "gone")
	assert.Equal(t, s.Run, 4)
	assert.Equal(t, s.Remaining, 11*time.Second)
}

// Guards against workers that answer and get nothing, without a line that says why each is left out.
func TestStandingJobNamesWhyWorkersAreLeftOut(t *testing.T) {
	for _, c := range []struct {
		reason  group.Exclusion
		exclude func(*cluster)
	}{
		{group.ExcludedUnlisted, func(c *cluster) { c.engine.SetWorkers(nil, c.now) }},
		{group.ExcludedDraining, func(c *cluster) { c.infos[0].Draining = true; c.engine.SetWorkers(c.infos, c.now) }},
		{group.ExcludedEvacuated, func(c *cluster) {
			c.engine.SetPolicy(group.Policy{Evacuated: map[string]bool{"dc0": true}})
		}},
		{group.ExcludedOutdated, func(c *cluster) {
			c.engine.ApplyListing("w0-0", group.Listing{Incarnation: 2}, c.now, c.now)
		}},
		{group.ExcludedSilent, func(c *cluster) { c.silent["w0-0"] = true; c.now = c.now.Add(5 * time.Second) }},
		{group.ExcludedSuspect, func(c *cluster) { c.now = c.now.Add(time.Millisecond); c.engine.PollFailed("w0-0", c.now, 0, c.now) }},
		{group.ExcludedOrphans, func(c *cluster) {
			c.engine.ApplyListing("w0-0", group.Listing{Incarnation: 1, Running: []group.RunningEntry{{Task: "x.0.0.0", Run: 1}}}, c.now, c.now)
		}},
		{group.ExcludedAvoided, func(c *cluster) { c.engine.Worker("w0-0").AvoidUntil = c.now.Add(9 * time.Second) }},
	} {
		t.Run(c.reason.String(), func(t *testing.T) {
			cl := newCluster(t, 1, 1)
			// The lease of an earlier owner, which keeps an unlisted worker, is that of a run.
			cl.submit("busy", planQueue, "beta", work.Step{Count: 1, Accelerators: 8, Estimate: time.Hour})
			cl.step()
			cl.submit("next", planQueue, "beta", gang(1, 8))
			cl.now = cl.now.Add(3 * time.Second)
			cl.pollAll()
			c.exclude(cl)
			cl.engine.Decide(true, cl.now)
			var next *group.Standing
			for _, s := range cl.engine.Standing(cl.now) {
				if s.Job == "next" {
					next = &s
				}
			}
			assert.Assert(t, next != nil)
			assert.Equal(t, next.State, group.StandsWithoutRoom)
			assert.DeepEqual(t, next.Fleet.Excluded, map[group.Exclusion]int{c.reason: 1})
			if c.reason == group.ExcludedAvoided {
				assert.Equal(t, next.Fleet.AvoidedFor, 9*time.Second)
			}
		})
	}
}

// Guards against a worker that stays closed as it has not acknowledged the stop of a start that was given up.
func TestStandingJobNamesAbandonedStarts(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("first", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	order.Member.MarkSent()
	order.Member.MarkUnanswered()
	c.now = c.now.Add(20 * time.Second)
	c.engine.Decide(true, c.now)
	c.engine.ApplyListing("w0-0", group.Listing{Incarnation: 1, MoreExits: true}, c.now, c.now)
	c.engine.Decide(true, c.now)
	c.now = c.now.Add(3 * time.Second)
	s := c.standing()
	assert.Equal(t, s.State, group.StandsWithoutRoom)
	assert.DeepEqual(t, s.Fleet.Excluded, map[group.Exclusion]int{group.ExcludedAbandoned: 1})
}

// Guards against a wait for room in a fleet of which the line doesn't say who holds what.
func TestStandingJobNamesFreeAndReservedRoom(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("half", planQueue, "beta", gang(2, 6))
	c.step()
	c.submit("whole", batchQueue, "beta", gang(2, 8))
	c.submit("other", batchQueue, "beta", gang(1, 7))
	c.watch(6)
	var states []group.StandingState
	for _, s := range c.engine.Standing(c.now) {
		states = append(states, s.State)
		assert.Equal(t, s.Fleet.Used.Accelerators, 12)
		assert.Equal(t, s.Fleet.Free.Accelerators, 4)
		assert.Equal(t, s.Fleet.Free.MilliCores, 62000)
		assert.Equal(t, s.Fleet.Backfill.Accelerators, 16)
		assert.Equal(t, s.Fleet.Fits, 0)
		if s.State == group.StandsReserved {
			assert.Equal(t, s.Job, "whole")
			assert.Assert(t, s.Remaining > 0)
		}
	}
	assert.DeepEqual(t, states, []group.StandingState{group.StandsWithoutRoom, group.StandsReserved})
}

// Guards against planned runs that hold room without a line while their records don't become durable.
func TestStandingJobNamesARecordThatIsNotDurable(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("plan", planQueue, "beta", gang(1, 8))
	updates := c.decideAndUpdate(math.MaxInt)
	c.now = c.now.Add(3 * time.Second)
	s := c.standing()
	assert.Equal(t, s.State, group.StandsPlanned)
	assert.Equal(t, s.Worker, "w0-0")
	c.engine.Rejected(updates[0], c.now)
	s = c.standing()
	assert.Equal(t, s.State, group.StandsRejected)
	assert.Equal(t, s.Remaining, 250*time.Millisecond)
}

// Guards against a start without an acknowledgement, and then a stop without one, that no line names.
func TestStandingJobNamesAnOrderThatIsNotAcknowledged(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("short", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	order.Member.MarkSent()
	c.now = c.now.Add(3 * time.Second)
	c.pollAll()
	s := c.standing()
	assert.Equal(t, s.State, group.StandsOrdered)
	assert.Equal(t, s.Worker, "w0-0")
	c.engine.Decide(true, c.now)
	s = c.standing()
	assert.Equal(t, s.State, group.StandsStopping)
	assert.Equal(t, s.Why, "a start was not answered in time")
	assert.Equal(t, s.Run, 1)
}

// Guards against a job that waits to return to the workers on which it failed, and is logged as waiting for room.
func TestStandingJobNamesADelayedRetry(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("flaky", planQueue, "beta", gang(1, 8))
	c.step()
	c.exitTask("flaky.0.0.0", group.Failed)
	c.watch(4)
	s := c.standing()
	assert.Equal(t, s.State, group.StandsRetry)
	assert.Equal(t, s.Remaining, 2*time.Second)
	assert.DeepEqual(t, s.Fleet.Excluded, map[group.Exclusion]int{group.ExcludedFailed: 1})
}

// Guards against a log that grows with the number of jobs: those with one cause share a line.
func TestJobsThatStandForOneCauseShareALine(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.silent["w0-0"] = true
	c.now = c.now.Add(10 * time.Second)
	for _, id := range []string{"a", "b", "c"} {
		c.submit(id, planQueue, "beta", gang(1, 8))
		c.now = c.now.Add(100 * time.Millisecond)
	}
	c.watch(4)
	s := c.standing()
	assert.Equal(t, s.Job, "a")
	assert.Equal(t, s.Others, 2)
}

// Guards against lines about jobs that run, wait for less than three seconds, have ended or are not due.
func TestJobsThatRunOrHaveEndedDoNotStand(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.submit("long", planQueue, "beta", gang(1, 8))
	c.submit("over", planQueue, "beta", gang(3, 8))
	c.engine.Cancel("over", c.now)
	c.step()
	for range 20 {
		assert.Equal(t, len(c.engine.Standing(c.now)), 0)
		c.advanceTime(time.Second)
	}
	c.submit("huge", planQueue, "beta", gang(3, 8))
	c.advanceTime(2800 * time.Millisecond)
	assert.Equal(t, len(c.engine.Standing(c.now)), 0)
	c.advanceTime(200 * time.Millisecond)
	assert.Equal(t, c.standing().Job, "huge")
}

// Guards against a worker that answers, and of which no line says that its listing hides a run of an earlier owner, and that the
// suspect of a crash there keeps others away.
func TestStandingJobsNameAnIncompleteListingAndAProbation(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.inheritSuspect()
	c.submit("other", planQueue, "beta", gang(1, 8))
	for range 4 {
		c.now = c.now.Add(time.Second)
		c.engine.ApplyListing("w0-0", group.Listing{Incarnation: 1, MoreExits: true}, c.now, c.now)
		c.engine.Decide(true, c.now)
	}
	list := c.engine.Standing(c.now)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Job, "other")
	assert.Equal(t, list[0].State, group.StandsWithoutRoom)
	assert.DeepEqual(t, list[0].Fleet.Excluded, map[group.Exclusion]int{group.ExcludedProbation: 1})
	assert.Equal(t, list[1].Job, "suspect")
	assert.Equal(t, list[1].State, group.StandsInherited)
	assert.Equal(t, list[1].Worker, "w0-0")
}

// Guards against a time that counts from the start of a run that was stopped, and not from when it was last known to run.
func TestJobStandsSinceItLastRan(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("service", planQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Estimate: time.Hour, LongRunning: true})
	c.step()
	c.watch(10)
	c.infos[0].Draining = true
	c.engine.SetWorkers(c.infos, c.now)
	assert.Equal(t, len(c.engine.Standing(c.now)), 0)
	c.engine.Decide(true, c.now)
	assert.Equal(t, len(c.engine.Standing(c.now)), 0)
	c.now = c.now.Add(3 * time.Second)
	c.pollAll()
	s := c.standing()
	assert.Equal(t, s.State, group.StandsStopping)
	assert.Equal(t, s.Lasted, 3*time.Second)
}
