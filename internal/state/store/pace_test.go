package store

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against small deployments that call less often than before, and against intervals that grow without a bound.
func TestPaceGrowsWithTheInstancesWithinABound(t *testing.T) {
	for instances, want := range map[int]time.Duration{0: time.Second, 1: time.Second, 8: time.Second, 12: 1500 * time.Millisecond, 24: 3 * time.Second, 41: 3 * time.Second, 1403: 3 * time.Second} {
		assert.Equal(t, Pace(time.Second, instances), want, "%d", instances)
	}
}
