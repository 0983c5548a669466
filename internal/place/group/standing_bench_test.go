package group_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// The search for jobs that stand, with 2,000 workers and 75,000 task groups that wait.
func BenchmarkStanding(b *testing.B) {
	c := newCluster(b, 50, 40)
	for i := range 1500 {
		c.submit(fmt.Sprintf("j%04d", i), batchQueue, "beta", work.Step{Count: 50, MilliCores: 1000, MemoryMB: 1000, Accelerators: 9, Estimate: time.Second})
	}
	c.step()
	c.now = c.now.Add(4 * time.Second)
	b.ResetTimer()
	for range b.N {
		assert.Equal(b, len(c.engine.Standing(c.now)), 1)
	}
}
