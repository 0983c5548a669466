package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// pollPartly polls the worker, which lists the exits and has more of them.
func (c *cluster) pollPartly(id string, exits ...group.ExitEntry) {
	listing := group.Listing{Incarnation: c.incarnationOf(id), Exits: exits, MoreExits: true}
	for _, entry := range c.running[id] {
		listing.Running = append(listing.Running, entry)
	}
	c.engine.LeaseRenewed(id, c.now.Add(6*time.Second))
	c.engine.ApplyListing(id, listing, c.now, c.now)
}

// startTwo starts a job of two tasks on the only worker, which then goes unheard for a second while both end.
func (c *cluster) startTwo() *group.Job {
	c.t.Helper()
	job := c.submit("job-a", planQueue, "beta", single(2, 4))
	c.step()
	assert.Equal(c.t, c.workersOf("job-a")["w0-0"], 2)
	clear(c.running["w0-0"])
	c.now = c.now.Add(time.Second)
	return job
}

func exitOf(number int64, task string, status group.ExitStatus) group.ExitEntry {
	return group.ExitEntry{Number: number, Task: task, Run: 1, Status: status}
}

// Guards against running a task twice (TWICE): its end is not among the exits that its worker lists at a time.
func TestTaskWhoseExitIsNotListedYetIsNotStartedAgain(t *testing.T) {
	c := newCluster(t, 1, 1)
	job := c.startTwo()
	c.pollPartly("w0-0", exitOf(1, "job-a.0.0.0", group.Done))
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	c.poll("w0-0", exitOf(2, "job-a.0.0.1", group.Done))
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
	assert.Equal(t, job.Record.Groups[1].Run, 1)
}

// Guards against a task that never runs again: the last listing is complete and does not show it.
func TestTaskThatACompleteListingDoesNotShowRunsAgain(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.startTwo()
	c.pollPartly("w0-0", exitOf(1, "job-a.0.0.0", group.Done))
	c.step()
	c.poll("w0-0")
	c.step()
	assert.Equal(t, c.running["w0-0"]["job-a.0.0.1"].Run, 2)
}

// Guards against running a task twice (TWICE): the owner changes before the worker has listed all exits.
func TestInheritedTaskWhoseExitIsNotListedYetIsNotStartedAgain(t *testing.T) {
	c := newCluster(t, 1, 1)
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Workers: []string{"w0-0"}}, {Run: 1, Workers: []string{"w0-0"}}}}
	job := c.engine.Load(&work.Spec{Job: "job-a", Queue: planQueue, Steps: []work.Step{single(2, 4)}}, record, 0, c.now, c.now)
	c.pollPartly("w0-0", exitOf(1, "job-a.0.0.0", group.Done))
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	c.poll("w0-0", exitOf(2, "job-a.0.0.1", group.Done))
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
}

// Guards against running a gang twice (TWICE): the worker of one member has restarted, that of the other lists the end later.
func TestInheritedGangWaitsForACompleteListing(t *testing.T) {
	c := newCluster(t, 1, 2)
	job := c.inheritGang()
	c.pollPartly("new-1")
	c.poll("new-0")
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	c.poll("new-1", exitOf(1, "job-a.0.0.1", group.Done))
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
}

// Guards against running a task twice (TWICE): it had ended before its stop was acknowledged.
func TestAcknowledgedStopIsNoEndWhileExitsArePending(t *testing.T) {
	c := newCluster(t, 1, 1)
	job := c.startTwo()
	c.engine.StopAcknowledged("w0-0", 1, "job-a.0.0.1", 1, c.now)
	c.now = c.now.Add(time.Millisecond)
	c.pollPartly("w0-0", exitOf(1, "job-a.0.0.0", group.Done))
	c.step()
	assert.Equal(t, len(c.workersOf("job-a")), 0)
	c.poll("w0-0", exitOf(2, "job-a.0.0.1", group.Done))
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
}

// Guards against placing tasks beside a run that was given up: its end may be among the exits that are not listed yet.
func TestUnknownRunCountsUntilAllExitsAreListed(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.running["w0-0"]["job-z.0.0.0"] = group.RunningEntry{Task: "job-z.0.0.0", Run: 1}
	c.poll("w0-0")
	clear(c.running["w0-0"])
	c.pollPartly("w0-0")
	assert.Assert(t, c.engine.Worker("w0-0").Busy())
	c.poll("w0-0")
	assert.Assert(t, !c.engine.Worker("w0-0").Busy())
}

// Guards against a job that fails for a crash it did not see (LOST): its task had ended, but the worker crashed before it listed that.
func TestCrashIsNotCountedForATaskWhoseExitMayBePending(t *testing.T) {
	for _, moreExits := range []bool{true, false} {
		c := newCluster(t, 1, 1)
		job := c.startTwo()
		if moreExits {
			c.pollPartly("w0-0")
		} else {
			c.running["w0-0"]["job-a.0.0.0"] = group.RunningEntry{Task: "job-a.0.0.0", Run: 1}
			c.poll("w0-0")
		}
		c.now = c.now.Add(10 * time.Millisecond)
		c.engine.PollFailed("w0-0", c.now, 0, c.now)
		c.restart("w0-0", 2)
		c.now = c.now.Add(10 * time.Millisecond)
		c.poll("w0-0")
		assert.Equal(t, len(job.Record.Groups[0].Crashes) > 0, !moreExits)
	}
}

// Guards against a worker that is avoided although it is sound: tasks that had ended seem to make no progress.
func TestTaskWhoseExitMayBePendingDoesNotHang(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.startTwo()
	c.now = c.now.Add(3 * time.Second)
	c.pollPartly("w0-0", exitOf(1, "job-a.0.0.0", group.Done))
	c.step()
	assert.Equal(t, len(c.stops), 0)
}
