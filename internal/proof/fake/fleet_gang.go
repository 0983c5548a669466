package fake

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
)

const (
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
	// maxBreakDelay is the longest time until the members of a gang end after one of them.
	maxBreakDelay = 100 * time.Millisecond
)

// work lets a run that has begun end as done after the task's duration; members of a gang work once all are there. The caller
// holds f.mu.
func (f *Fleet) work(at *incarnation, run runID, task FleetTask) {
	now := time.Now()
	if len(task.Gang) == 0 {
		at.workingSince[run] = now
		f.endAfter(at, run, task.Duration, group.Done)
		return
	}
	time.AfterFunc(gangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if at.holds(run) && at.workingSince[run].IsZero() {
			f.end(at, run, group.Alone)
		}
	})
	members := f.members(task.Gang, run.run)
	if len(members) < len(task.Gang) {
		return
	}
	for id, on := range members {
		on.workingSince[id] = now
	}
	time.AfterFunc(task.Duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if members := f.members(task.Gang, run.run); len(members) == len(task.Gang) {
			for id, on := range members {
				f.end(on, id, group.Done)
			}
		}
	})
}

// holds reports whether the run is running on the incarnation, and that is up.
func (at *incarnation) holds(run runID) bool {
	_, runs := at.running[run]
	return runs && at.worker.current == at
}

// members returns the members of a gang that run with the given run number, and where. The caller holds f.mu.
func (f *Fleet) members(gang []string, run int) map[runID]*incarnation {
	found := make(map[runID]*incarnation)
	for _, task := range gang {
		for _, w := range f.workers {
			if id := (runID{task, run}); w.current != nil && w.current.holds(id) {
				found[id] = w.current
			}
		}
	}
	return found
}

// breakGang ends the other members of a gang at work after one of them has ended without success. The caller holds f.mu.
func (f *Fleet) breakGang(at *incarnation, run runID) {
	gang := f.cfg.Task(run.task).Gang
	if len(gang) == 0 || at.workingSince[run].IsZero() {
		return
	}
	time.AfterFunc(below(at.worker.rand, maxBreakDelay), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for id, on := range f.members(gang, run.run) {
			f.end(on, id, group.Broken)
		}
	})
}
