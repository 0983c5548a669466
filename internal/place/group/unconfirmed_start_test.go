package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// orderUnconfirmed submits a job of one task, loses the response to its start and lets the worker refuse the repeated order.
func orderUnconfirmed(t *testing.T) (*cluster, *group.Job, group.StartOrder) {
	t.Helper()
	return orderRefused(t, group.Unconfirmed)
}

// orderRefused submits a job of one task and applies the result to its start 400 ms after the order.
func orderRefused(t *testing.T, result group.StartResult) (*cluster, *group.Job, group.StartOrder) {
	t.Helper()
	c := newCluster(t, 1, 2)
	job := c.submit("short", planQueue, "beta", gang(1, 8))
	order := c.lastStartOrder()
	order.Member.MarkSent()
	c.now = c.now.Add(400 * time.Millisecond)
	c.engine.ApplyStartResult(order.Member, result, c.now)
	return c, job, order
}

// A short task has ended on its worker before the start is repeated; the refusal must not make it start elsewhere.
func TestTaskThatEndedBeforeItsStartWasConfirmedDoesNotRunAgain(t *testing.T) {
	c, job, order := orderUnconfirmed(t)
	c.step()
	assert.Equal(t, len(c.workersOf("short")), 0)
	assert.DeepEqual(t, c.stops, []group.StopOrder{{Worker: order.Worker, Task: order.Task, Run: order.Run}})
	c.poll(order.Worker, group.ExitEntry{Number: 1, Task: order.Task, Run: order.Run, Status: group.Done})
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
	assert.Equal(t, len(c.workersOf("short")), 0)
}

// The first order never arrived: after the acknowledged stop it can't start there any more, so the task runs again.
func TestTaskRunsAgainOnceAnUnconfirmedStartIsStopped(t *testing.T) {
	c, _, order := orderUnconfirmed(t)
	c.step()
	assert.Equal(t, len(c.workersOf("short")), 0)
	c.engine.StopAcknowledged(order.Worker, c.incarnationOf(order.Worker), order.Task, order.Run, c.now)
	c.now = c.now.Add(time.Millisecond)
	c.pollAll()
	c.step()
	assert.Equal(t, len(c.workersOf("short")), 1)
}

// Guards against running a task twice (TWICE): an order of an earlier owner was executed late, and the run has ended by the time
// that the start is sent again, which the worker refuses as outdated.
func TestTaskWhoseStartIsRefusedAsOutdatedMayHaveEnded(t *testing.T) {
	c, job, order := orderRefused(t, group.Outdated)
	c.step()
	assert.Equal(t, len(c.workersOf("short")), 0)
	c.poll(order.Worker, group.ExitEntry{Number: 1, Task: order.Task, Run: order.Run, Status: group.Done})
	c.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
	assert.Equal(t, len(c.workersOf("short")), 0)
}

// Guards against a task that never runs again: the worker refuses its run as an earlier owner has stopped it.
func TestTaskRunsAgainOnceAnOutdatedStartIsStopped(t *testing.T) {
	c, _, order := orderRefused(t, group.Outdated)
	c.step()
	c.engine.StopAcknowledged(order.Worker, c.incarnationOf(order.Worker), order.Task, order.Run, c.now)
	c.now = c.now.Add(time.Millisecond)
	c.pollAll()
	c.step()
	assert.Equal(t, len(c.workersOf("short")), 1)
}
