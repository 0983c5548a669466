package sets_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// repeating hands in a job with three turns of one task, four seconds apart, the first due in a second; record may be nil.
func (s *site) repeating(record *work.Record) *sets.Job {
	wall := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	spec := &work.Spec{
		Job: "nightly", Queue: planQueue, Steps: []work.Step{gang(1, 1)},
		Repeat: &work.Repeat{Count: 3, Start: wall.Add(time.Second), Interval: 4 * time.Second},
	}
	return s.engine.Load(spec, record, 0, s.now, wall)
}

func (s *site) runs(task string) bool {
	for _, tasks := range s.running {
		if _, ok := tasks[task]; ok {
			return true
		}
	}
	return false
}

// The pattern: a recount each night, handed in long before.
func TestNoTurnStartsBeforeItsTime(t *testing.T) {
	s := newSite(t, 1, 2)
	job := s.repeating(nil)
	began := s.now
	starts := make(map[string]time.Duration)
	for s.now.Sub(began) < 12*time.Second {
		s.pass(200 * time.Millisecond)
		for _, task := range []string{"nightly.0.0.0", "nightly.1.0.0", "nightly.2.0.0"} {
			if _, seen := starts[task]; !seen && s.runs(task) {
				starts[task] = s.now.Sub(began)
			}
		}
	}
	// Turns overlap, as none of the tasks has ended.
	assert.DeepEqual(t, starts, map[string]time.Duration{"nightly.0.0.0": time.Second, "nightly.1.0.0": 5 * time.Second, "nightly.2.0.0": 9 * time.Second})
	assert.Equal(t, job.Record.Phase, work.Running)
	for task := range starts {
		assert.Equal(t, job.Record.Phase, work.Running)
		s.end(task, sets.Done)
	}
	s.step()
	assert.Equal(t, job.Record.Phase, work.Completed)
}

func TestSuccessorKeepsTheTurnsApart(t *testing.T) {
	s := newSite(t, 1, 2)
	record := &work.Record{Phase: work.Running, Sets: []work.SetRecord{{Run: 1, Done: true}, {Run: 2, On: []string{"w0-0"}}, {}}}
	job := s.repeating(record)
	s.running["w0-0"]["nightly.1.0.0"] = sets.RunningEntry{Task: "nightly.1.0.0", Run: 2}
	s.listAll()
	s.step()
	assert.Equal(t, len(s.stops), 0)
	s.end("nightly.1.0.0", sets.Done)
	s.step()
	assert.Equal(t, job.Record.Phase, work.Running, "the last turn is still to come")
	s.pass(9 * time.Second)
	assert.Assert(t, s.runs("nightly.2.0.0"))
}

// The pattern: a long job is cancelled between two of its turns.
func TestCancelledJobHasNoFurtherTurn(t *testing.T) {
	s := newSite(t, 1, 2)
	s.repeating(nil)
	s.pass(2 * time.Second)
	s.end("nightly.0.0.0", sets.Done)
	s.engine.Cancel("nightly", s.now)
	s.pass(12 * time.Second)
	assert.DeepEqual(t, s.workersOf("nightly"), map[string]int{})
}
