package group_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// The large deployment has largeRacks racks of largeRackSize workers, rounded to whole racks.
const (
	largeRacks    = 92
	largeRackSize = 12
)

// backlog is what waits on a large fleet: jobs of single tasks without (plain) and with MaxPerWorker (bounded), and gangs of
// whole workers.
type backlog struct{ plain, bounded, gangs int }

// waiting counts the task groups.
func (b backlog) waiting() int { return tasksPerJob*(b.plain+b.bounded) + b.gangs }

// tasksPerJob is the mean number of tasks of a batch job in the large deployment.
const tasksPerJob = 78

// backlogs are a tenth of the number of task groups that wait in the large deployment, that number, and ten times as many.
var backlogs = []backlog{{plain: 2, bounded: 1, gangs: 66}, {plain: 19, bounded: 19, gangs: 36}, {plain: 190, bounded: 190, gangs: 360}}

// fillCluster returns a large fleet with all workers full and the backlog submitted.
func (b backlog) fillCluster(tb testing.TB) *cluster {
	tb.Helper()
	c := newCluster(tb, largeRacks, largeRackSize)
	c.submit("filler", planQueue, "beta", work.Step{
		Count: largeRacks * largeRackSize, MilliCores: 30000, MemoryMB: 100000, Accelerators: 8, Estimate: time.Hour, LongRunning: true,
	})
	c.step()
	task := work.Step{Count: tasksPerJob, MilliCores: 2800, MemoryMB: 7400, Accelerators: 1, Estimate: 8 * time.Second}
	for i := range b.plain {
		c.submit(fmt.Sprintf("plain-%d", i), batchQueue, "beta", task)
	}
	task.Accelerators, task.MaxPerWorker = 2, 1
	for i := range b.bounded {
		c.submit(fmt.Sprintf("bounded-%d", i), batchQueue, "beta", task)
	}
	for i := range b.gangs {
		c.submit(fmt.Sprintf("gang-%d", i), planQueue, "beta", gang(26, 8))
	}
	c.engine.Decide(true, c.now)
	c.engine.Actions()
	return c
}

// BenchmarkDecideBacklog measures one decision on a large full fleet, by the number of waiting task groups.
func BenchmarkDecideBacklog(b *testing.B) {
	for _, size := range backlogs {
		b.Run(fmt.Sprintf("waiting=%d", size.waiting()), func(b *testing.B) {
			c := size.fillCluster(b)
			b.ResetTimer()
			for range b.N {
				c.now = c.now.Add(time.Millisecond)
				c.engine.Decide(true, c.now)
			}
		})
	}
}

// BenchmarkDecideDrain measures the decision that places a backlog that fits on a large empty fleet.
func BenchmarkDecideDrain(b *testing.B) {
	for range b.N {
		b.StopTimer()
		c := newCluster(b, largeRacks, largeRackSize)
		for i := range 40 {
			step := work.Step{Count: tasksPerJob, MilliCores: 2800, MemoryMB: 7400, Accelerators: 1 + i%2, Estimate: 8 * time.Second, MaxPerWorker: i % 2}
			c.submit(fmt.Sprintf("job-%d", i), batchQueue, "beta", step)
		}
		b.StartTimer()
		c.engine.Decide(true, c.now)
		b.StopTimer()
		placed := 0
		for _, action := range c.engine.Actions() {
			if note, ok := action.(group.Decision); ok && note.Kind == group.RunPlaced {
				placed++
			}
		}
		b.ReportMetric(float64(placed), "placed")
	}
}
