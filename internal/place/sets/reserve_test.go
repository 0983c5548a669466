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
func (s *site) keptFor() int {
	jobs := make(map[string]bool)
	for _, note := range s.notes {
		if note.What == sets.JobWaits && strings.HasPrefix(note.Text, "room is kept") {
			jobs[note.Job] = true
		}
	}
	return len(jobs)
}

// scattered puts a task with so many accelerators on every worker and hands in two gangs that need a whole rack.
func scattered(t *testing.T, accelerators int) *site {
	t.Helper()
	s := newSite(t, 4, 4)
	for i := range 4 {
		small := gang(4, accelerators)
		small.MaxPerWorker, small.Requires = 1, fmt.Sprintf("r%d", i)
		s.submit(fmt.Sprintf("small-%d", i), planQueue, "beta", small)
	}
	s.step()
	wide := gang(4, 8)
	wide.SameRack = true
	s.submit("wide-a", planQueue, "beta", wide)
	s.submit("wide-b", planQueue, "beta", wide)
	s.pass(6 * time.Second)
	return s
}

// The pattern: gangs that need whole workers keep coming while small ones lie on most workers and fill few.
func TestSeveralGangsHaveRoomKeptWhileMuchIsFree(t *testing.T) {
	assert.Equal(t, scattered(t, 1).keptFor(), 2)
}

func TestOneGangHasRoomKeptWhileTheFleetIsFull(t *testing.T) {
	assert.Equal(t, scattered(t, 6).keptFor(), 1)
}

// The pattern: on a large fleet that is full of tasks which begin anew, gangs of whole workers wait one behind the other
// while one at a time has room kept for it.
func TestMoreGangsHaveRoomKeptOnALargeFleet(t *testing.T) {
	s := newSite(t, 16, 8)
	s.submit("plain", batchQueue, "beta", work.Step{Count: 16 * 8 * 8, MilliCores: 1000, MemoryMB: 1000, Accelerators: 1, Estimate: time.Hour})
	s.step()
	s.submit("filler", quickQueue, "beta", work.Step{Count: 16 * 8 * 8, MilliCores: 1000, MemoryMB: 1000, Accelerators: 1, Estimate: time.Hour})
	s.step()
	for i := range 6 {
		s.submit(fmt.Sprintf("wide-%d", i), planQueue, "beta", gang(12, 8))
	}
	s.pass(6 * time.Second)
	assert.Equal(t, s.keptFor(), 6)
}
