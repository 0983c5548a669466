package group_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// listOdd lists one more worker with that number of accelerators, which answers polls.
func (c *cluster) listOdd(accelerators int) {
	c.infos = append(c.infos, group.WorkerInfo{
		ID: "odd", Service: "main", Address: "odd", DataCentre: "dc0", Rack: "r0",
		Capacity: group.Resources{MilliCores: 32000, MemoryMB: 128000, Accelerators: accelerators}, Incarnation: 1,
	})
	c.running["odd"] = make(map[string]group.RunningEntry)
	c.engine.SetWorkers(c.infos, c.now)
	c.poll("odd")
}

// Guards against an owner that ends for lack of memory: one worker's entry gives millions of accelerators.
func TestDecisionsCostNoMoreThanTheWorkersWhateverNumberAnEntryGives(t *testing.T) {
	for _, accelerators := range []int{1 << 20, 20_000_000} {
		c := newCluster(t, 2, 4)
		c.listOdd(accelerators)
		c.submit("plan", planQueue, "beta", work.Step{Count: 9, MilliCores: 1000, Accelerators: 3, Estimate: time.Second})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 5 {
			c.step()
		}
		runtime.ReadMemStats(&after)
		// Nine workers and nine tasks; a list for each number of accelerators takes at least 24 MB.
		allocated := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, allocated < 8<<20, "%d accelerators: %d bytes allocated", accelerators, allocated)
		assert.Assert(t, len(c.workersOf("plan")) > 0)
	}
}

// Guards against a task on a worker that lacks room: the index of free workers does not tell large numbers of accelerators apart.
func TestTaskThatNeedsManyAcceleratorsFindsTheWorkerThatHasThem(t *testing.T) {
	c := newCluster(t, 2, 4)
	c.listOdd(600)
	for job, need := range map[string]int{"more": 601, "most": math.MaxInt, "all": 600} {
		c.submit(job, planQueue, "beta", work.Step{Count: 1, MilliCores: 1000, Accelerators: need, Estimate: time.Hour})
	}
	c.step()
	assert.DeepEqual(t, c.workersOf("all"), map[string]int{"odd": 1})
	assert.Equal(t, len(c.workersOf("more"))+len(c.workersOf("most")), 0)
}

// BenchmarkDecideOddEntry measures one decision of a fleet of 1,000 full workers, with and without one more whose entry is odd.
func BenchmarkDecideOddEntry(b *testing.B) {
	for _, accelerators := range []int{0, 8, 1 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("odd=%d", accelerators), func(b *testing.B) {
			e, now := newFullEngine(1000, 1300)
			if accelerators > 0 {
				infos := fullWorkers(1000)
				odd := infos[0]
				odd.ID, odd.Capacity.Accelerators, odd.Capacity.MilliCores = "odd", accelerators, 0
				e.SetWorkers(append(infos, odd), now)
				e.ApplyListing("odd", group.Listing{Incarnation: 1}, now, now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Microsecond)
				e.Decide(true, now)
			}
		})
	}
}
