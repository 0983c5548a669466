package caller_test

import (
	"math/rand/v2"
	"testing"

	"github.com/lentildeck/lentildeck/internal/soak/caller"
	"github.com/lentildeck/lentildeck/internal/soak/site"
	"gotest.tools/v3/assert"
)

func TestArrivalsAreDrawnFromTheSeed(t *testing.T) {
	for _, name := range site.Names() {
		s, err := site.Find(name)
		assert.NilError(t, err)
		one, two := caller.Arrivals(s, rand.New(rand.NewPCG(1, 1))), caller.Arrivals(s, rand.New(rand.NewPCG(1, 1)))
		assert.DeepEqual(t, one, two)
		rate, tasks := 0.0, 0
		for _, q := range s.Queues {
			rate += q.Rate
		}
		for _, a := range one {
			assert.Equal(t, a.At < s.Traffic, true)
			for _, step := range a.Job.Steps {
				tasks += len(step.Work)
				assert.Equal(t, step.MilliCores <= s.MilliCores && step.Accelerators <= s.Accelerators, true, "a task fits on a worker")
			}
		}
		expected := rate * s.Traffic.Seconds()
		assert.Equal(t, float64(len(one)) > expected/2 && float64(len(one)) < expected*2, true, "%s has %d jobs", name, len(one))
		assert.Equal(t, tasks > len(one), true)
	}
	_, err := site.Find("none")
	assert.ErrorContains(t, err, `site "none" is not one of grown, medium, small`)
}
