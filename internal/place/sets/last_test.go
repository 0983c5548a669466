package sets_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// lasting hands in a job whose tasks each take half a worker until it is cancelled.
func (s *site) lasting(tasks, maxAway int) *sets.Job {
	return s.submit("serve", batchQueue, "beta", work.Step{Count: tasks, MilliCores: 1000, Accelerators: 4, Estimate: time.Second, Lasts: true, MaxAway: maxAway})
}

// atWork lets all tasks that run say that they do their work.
func (s *site) atWork() {
	for _, tasks := range s.running {
		for name, entry := range tasks {
			entry.Percent = 100
			tasks[name] = entry
		}
	}
	s.listAll()
}

// The pattern: a service's tasks crash from time to time, by their own fault or the worker's.
func TestTaskThatLastsIsStartedAgainHoweverItEnds(t *testing.T) {
	s := newSite(t, 1, 2)
	job := s.lasting(1, 0)
	s.step()
	for _, how := range []sets.How{sets.Failed, sets.Failed, sets.Failed, sets.Failed, sets.Failed, sets.Done, sets.Lapsed, sets.Broken} {
		assert.Equal(t, len(s.workersOf("serve")), 1, "before an end as %s", how)
		s.end("serve.0.0.0", how)
		s.pass(7 * time.Second)
	}
	assert.Equal(t, len(s.workersOf("serve")), 1)
	assert.Equal(t, job.Record.Phase, work.Running)
}

// The pattern: quick jobs beyond their guarantee press on a service that may lack one task at a time.
func TestTasksThatLastAreNotStoppedBeyondTheirBound(t *testing.T) {
	s := newSite(t, 1, 2)
	s.lasting(4, 1)
	s.step()
	s.atWork()
	quick := work.Step{Count: 1, MilliCores: 1000, Accelerators: 4, Estimate: 20 * time.Second}
	for _, id := range []string{"quick-a", "quick-b", "quick-c"} {
		s.submit(id, quickQueue, "beta", quick)
		s.step()
		s.atWork()
	}
	assert.Equal(t, len(s.stops), 1)
}

func TestTaskThatLastsMovesWhenItsWorkerLeaves(t *testing.T) {
	s := newSite(t, 1, 2)
	s.lasting(1, 1)
	s.step()
	s.atWork()
	for id := range s.workersOf("serve") {
		for i := range s.infos {
			s.infos[i].Draining = s.infos[i].ID == id
		}
	}
	s.engine.SetWorkers(s.infos, s.now)
	s.step()
	s.step()
	for _, info := range s.infos {
		assert.Equal(t, s.workersOf("serve")[info.ID] == 0, info.Draining, info.ID)
	}
}

func TestOnlyItsCallerEndsAJobThatLasts(t *testing.T) {
	s := newSite(t, 1, 2)
	job := s.lasting(2, 0)
	s.step()
	s.pass(time.Minute)
	assert.Equal(t, job.Record.Phase, work.Running)
	s.engine.Cancel("serve", s.now)
	s.step()
	assert.DeepEqual(t, s.workersOf("serve"), map[string]int{})
}
