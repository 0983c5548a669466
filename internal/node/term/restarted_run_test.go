package term_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// restartWithOwner ends the task with the status while the store accepts no records, and lets its worker restart under its ID as the
// owner is replaced. The next owner hears of the exit, from another instance or from the last owner, after the delay.
func (s *succession) restartWithOwner(status group.ExitStatus, ownerIsLost bool, delay time.Duration) {
	s.stops = append(s.stops, s.electWith("a", s.workers, neighbours{"c"}))
	s.eventually("a is the owner", func() bool { return s.owner() != "" })
	s.instances.add(&term.Elector{Instance: "c", Now: time.Now})
	s.electWith("b", s.workers, neighbours{"a", "c"})
	recovered := s.exitWithoutRecord(status)
	s.agents.Restart(s.record().Groups[0].Workers[0])
	s.instances.answerAfter(delay)
	if ownerIsLost {
		s.instances.remove("a")
		s.stops[0]()
	} else {
		s.replaceOwner()
	}
	recovered()
}

// Guards against two runs of one task: the exit of its first run, from before a restart of the worker, is taken for that of a run which
// the next owner has started there since (review/6, TWICE).
func TestExitOfAnEarlierIncarnationEndsNoLaterRun(t *testing.T) {
	for name, ownerIsLost := range map[string]bool{"left with another instance": true, "reported by the last owner": false} {
		for _, status := range []group.ExitStatus{group.Failed, group.Done, group.Stopped} {
			synctest.Test(t, func(t *testing.T) {
				s := newSuccession(t)
				s.restartWithOwner(status, ownerIsLost, 200*time.Millisecond)
				time.Sleep(5 * time.Second)
				assert.Check(t, s.agents.OverlappingStarts == 0, "%s, %s: two runs at once", name, status)
			})
		}
	}
}

// Guards against a task that never runs again, as its recorded run was lost with an incarnation of the worker.
func TestRunLostWithAnIncarnationIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		s.restartWithOwner(group.Failed, true, 0)
		s.eventually("the task runs again", s.running)
		assert.Assert(t, s.agents.ExitTask(task, group.Done))
		time.Sleep(time.Second)
		assert.Equal(t, s.record().Phase, work.Completed)
	})
}

// Guards against work that is done again, and failures that are not counted: the next owner gives up the run of a worker that has
// restarted before it has heard what the owners before it know of the run.
func TestRunIsGivenUpOnceTheReportsOfEarlierOwnersAreIn(t *testing.T) {
	for name, ownerIsLost := range map[string]bool{"left with another instance": true, "reported by the last owner": false} {
		synctest.Test(t, func(t *testing.T) {
			s := newSuccession(t)
			s.restartWithOwner(group.Done, ownerIsLost, 200*time.Millisecond)
			time.Sleep(5 * time.Second)
			assert.Check(t, s.agents.Started(task) == 1, name)
			assert.Check(t, s.record().Phase == work.Completed, name)
		})
		synctest.Test(t, func(t *testing.T) {
			s := newSuccession(t)
			s.restartWithOwner(group.Failed, ownerIsLost, 200*time.Millisecond)
			time.Sleep(5 * time.Second)
			assert.Check(t, s.record().Groups[0].Failures == 1, name)
			assert.Check(t, s.agents.Started(task) >= 2, name)
		})
	}
}
