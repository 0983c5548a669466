package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against preempting more tasks of a long-running service than MaxUnavailable allows: the stop of one by an earlier owner
// has reached its worker, which lists the task as running until it has ended.
func TestInheritedTaskThatLastsMayBeStoppingAlready(t *testing.T) {
	c := newCluster(t, 1, 2)
	step := work.Step{Count: 4, MilliCores: 1000, Accelerators: 4, Estimate: time.Second, LongRunning: true, MaxUnavailable: 1}
	record := &work.Record{Phase: work.Running}
	for i, worker := range []string{"w0-0", "w0-0", "w0-1", "w0-1"} {
		task := "serve.0.0." + string(rune('0'+i))
		c.running[worker][task] = group.RunningEntry{Task: task, Run: 1}
		record.Groups = append(record.Groups, work.GroupRecord{Run: 1, Workers: []string{worker}})
	}
	c.engine.Load(&work.Spec{Job: "serve", Queue: batchQueue, Workspace: "beta", Steps: []work.Step{step}}, record, 0, c.now, c.now)
	c.reportWorking()
	c.submit("quick", quickQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: 4, Estimate: 20 * time.Second})
	c.step()
	assert.Equal(t, len(c.stops), 0)
	c.now = c.now.Add(group.DefaultConfig().StopTimeout + 100*time.Millisecond)
	c.reportWorking()
	c.step()
	assert.Equal(t, len(c.stops), 1, "all four tasks have outlasted any stop")
}
