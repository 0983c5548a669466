package sets_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// leave lets the worker say that it ends in that time.
func (s *site) leave(id string, in time.Duration) {
	for i := range s.infos {
		if s.infos[i].ID == id {
			s.infos[i].Draining, s.infos[i].LeavesIn = true, in
		}
	}
	s.engine.SetWorkers(s.infos, s.now)
}

// onlyWorkerOf returns the worker that runs the job's one task.
func (s *site) onlyWorkerOf(job string) string {
	s.t.Helper()
	for id := range s.workersOf(job) {
		return id
	}
	s.t.Fatalf("%s runs nowhere", job)
	return ""
}

// The pattern: workers are taken away at short notice under quick gangs that can't be done by then. Their members on the
// workers that left counted as alive until the lease had lapsed, four seconds later.
func TestGangWhoseWorkerLeavesTooSoonBeginsAnewAtOnce(t *testing.T) {
	s := newSite(t, 2, 4)
	s.submit("quick", quickQueue, "alpha", work.Step{Count: 3, MilliCores: 1000, Accelerators: 8, Estimate: 5 * time.Second, Gang: true})
	s.step()
	leaving := s.onlyWorkerOf("quick")
	s.leave(leaving, 1800*time.Millisecond)
	s.step()
	s.step()
	on := s.workersOf("quick")
	assert.Equal(t, len(on), 3)
	assert.Equal(t, on[leaving], 0)
}

// The pattern: a planned scale-in gives quick jobs time enough.
func TestTaskThatCanEndBeforeItsWorkerLeavesGoesOn(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit("quick", quickQueue, "alpha", work.Step{Count: 1, MilliCores: 1000, Accelerators: 8, Estimate: 2 * time.Second, Gang: true})
	s.step()
	s.leave(s.onlyWorkerOf("quick"), 4*time.Second)
	s.step()
	assert.Equal(t, len(s.stops), 0)
}

// The pattern: a list entry is read again while the worker has not written a newer one; its time does not begin anew.
func TestTimeUntilAWorkerLeavesRunsOnBetweenItsReports(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit("job", planQueue, "alpha", work.Step{Count: 1, MilliCores: 1000, Accelerators: 8, Estimate: 4 * time.Second, Gang: true})
	s.step()
	on := s.onlyWorkerOf("job")
	s.leave(on, 4*time.Second)
	s.step()
	assert.Equal(t, len(s.stops), 0)
	s.now = s.now.Add(2 * time.Second)
	s.running[on]["job.0.0.0"] = sets.RunningEntry{Task: "job.0.0.0", Run: 1, Percent: 10}
	s.listAll()
	s.leave(on, 4*time.Second)
	s.step()
	assert.Equal(t, len(s.stops), 1)
}
