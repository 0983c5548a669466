package group_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// backfilledJobs counts the jobs that had a backfill reservation.
func (c *cluster) backfilledJobs() int {
	jobs := make(map[string]bool)
	for _, decision := range c.decisions {
		if decision.Kind == group.JobWaits && strings.HasPrefix(decision.Text, "backfill reservation; ") {
			jobs[decision.Job] = true
		}
	}
	return len(jobs)
}

// newFragmentedCluster runs a task with that many accelerators on every worker and submits two gangs that need a whole rack.
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

// Guards against serving one gang of whole workers at a time on a fragmented fleet: small gangs occupy a part of most
// workers.
func TestSeveralGangsHaveBackfillReservationsWhileUtilizationIsLow(t *testing.T) {
	assert.Equal(t, newFragmentedCluster(t, 1).backfilledJobs(), 2)
}

func TestOneGangHasABackfillReservationOnAFullFleet(t *testing.T) {
	assert.Equal(t, newFragmentedCluster(t, 6).backfilledJobs(), 1)
}

// Guards against serving one gang of whole workers at a time on a large fleet that is full of tasks without checkpoints,
// which are not preempted for gangs.
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
