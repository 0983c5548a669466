package group_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// BenchmarkDecideRush measures one decision on a full fleet with a long queue while quick gangs, most of them bound to one
// rack, arrive.
func BenchmarkDecideRush(b *testing.B) {
	for _, racks := range []int{6, 44, 175} {
		b.Run(fmt.Sprintf("workers=%d", 8*racks), func(b *testing.B) {
			c := newCluster(b, racks, 8)
			for i := range racks * 4 {
				step := work.Step{Count: 4 + i%9, MilliCores: 5600, MemoryMB: 8000, Accelerators: 1 + i%8, Estimate: 8 * time.Second, Gang: i%2 == 0, Checkpoints: i%3 == 0}
				c.submit(fmt.Sprintf("%016x", i), []string{planQueue, batchQueue}[i%2], "beta", step)
			}
			c.step()
			c.advanceTime(time.Second)
			b.ResetTimer()
			for n := range b.N {
				c.now = c.now.Add(10 * time.Millisecond)
				if n%4 == 0 {
					c.submitQuickGangs(n)
				}
				c.engine.Decide(true, c.now)
				b.StopTimer()
				c.step()
				if n%40 == 0 {
					c.pollAll()
				}
				b.StartTimer()
			}
		})
	}
}

// submitQuickGangs submits four quick gangs that differ in number and size of their tasks.
func (c *cluster) submitQuickGangs(n int) {
	for i := range 4 {
		step := work.Step{Count: 2 + 2*i, MilliCores: 7500, MemoryMB: 15000, Accelerators: []int{8, 4, 2, 1}[i], Estimate: 2500 * time.Millisecond, Gang: true, SameRack: i != 0}
		c.submit(fmt.Sprintf("%08x%08x", n+1, i), quickQueue, "beta", step)
	}
}
