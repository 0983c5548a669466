package sets_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// keptFor counts the jobs that room was kept for.
func (c *cluster) backfilledJobs() int {
	jobs := make(map[string]bool)
	for _, note := range c.decisions {
		if note.What == sets.JobWaits && strings.HasPrefix(note.Text, "room is kept") {
			jobs[note.Job] = true
		}
	}
	return len(jobs)
}

// scattered puts a task with so many accelerators on every worker and hands in two gangs that need a whole rack.
func newFragmentedCluster(t *testing.T, accelerators int) *cluster {
	t.Helper()
	c := newCluster(t, 4, 4)
	for i := range 4 {
		small := gang(4, accelerators)
		small.MaxPerWorker, small.Requires = 1, fmt.Sprintf("r%d", i)
		c.submit(fmt.Sprintf("small-%d", i), planQueue, "beta", small)
	}
	c.step()
	wide := gang(4, 8)
	wide.SameRack = true
	c.submit("wide-a", planQueue, "beta", wide)
	c.submit("wide-b", planQueue, "beta", wide)
	c.advanceTime(6 * time.Second)
	return c
}

// The pattern: gangs that need whole workers keep coming while small ones lie on most workers and fill few.
func TestSeveralGangsHaveBackfillReservationsWhileUtilizationIsLow(t *testing.T) {
	assert.Equal(t, newFragmentedCluster(t, 1).backfilledJobs(), 2)
}

func TestOneGangHasABackfillReservationOnAFullFleet(t *testing.T) {
	assert.Equal(t, newFragmentedCluster(t, 6).backfilledJobs(), 1)
}

// The pattern: on a large fleet that is full of tasks which begin anew, gangs of whole workers wait one behind the other
// while one at a time has room kept for it.
func TestMoreGangsHaveBackfillReservationsOnALargeFleet(t *testing.T) {
	c := newCluster(t, 16, 8)
	c.submit("plain", batchQueue, "beta", work.Step{Count: 16 * 8 * 8, MilliCores: 1000, MemoryMB: 1000, Accelerators: 1, Estimate: time.Hour})
	c.step()
	c.submit("filler", quickQueue, "beta", work.Step{Count: 16 * 8 * 8, MilliCores: 1000, MemoryMB: 1000, Accelerators: 1, Estimate: time.Hour})
	c.step()
	for i := range 6 {
		c.submit(fmt.Sprintf("wide-%d", i), planQueue, "beta", gang(12, 8))
	}
	c.advanceTime(6 * time.Second)
	assert.Equal(t, c.backfilledJobs(), 6)
}
