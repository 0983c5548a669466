package term_test

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// endWithoutRecord ends the task as done while the store accepts no records; the returned function lets it accept them again.
func (s *succession) endWithoutRecord() (recover func()) { return s.exitWithoutRecord(group.Done) }

// exitWithoutRecord is the same for any status.
func (s *succession) exitWithoutRecord(status group.ExitStatus) (recover func()) {
	var failing atomic.Bool
	s.store.SetOutcomes(func(operation string) fake.CallOutcome {
		if operation == "commit" && failing.Load() {
			return fake.Down
		}
		return fake.Delivered
	})
	s.submit()
	s.eventually("the task runs", s.running)
	time.Sleep(time.Second)
	failing.Store(true)
	assert.Assert(s.t, s.agents.ExitTask(task, status))
	time.Sleep(time.Second)
	return func() { failing.Store(false) }
}

// failRecords makes the store reject records of jobs while the returned flag is true.
func (s *succession) failRecords() *atomic.Bool {
	failing := &atomic.Bool{}
	failing.Store(true)
	s.store.SetAccepted(func(tx store.Transaction) bool {
		return !failing.Load() || !slices.ContainsFunc(tx.Writes, func(w store.Write) bool { return strings.HasPrefix(w.Key, work.RecordPrefix) })
	})
	return failing
}

// Guards against work that is done again, and jobs that stand until then, as the end of a task was heard while the store was away and
// the worker is gone (issue 48, LOST).
func TestEndThatTheLastOwnerCouldNotRecordIsNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "a", "b")
		recovered := s.endWithoutRecord()
		s.workers.crash(s.record().Groups[0].Workers[0])
		s.replaceOwner()
		recovered()
		time.Sleep(3 * time.Second)
		assert.Equal(t, s.record().Phase, work.Completed)
		assert.Equal(t, s.agents.Started(task), 1)
	})
}

// neighbours are the other instances of an instance's data centre.
type neighbours []string

// HasLargerPeer returns false: all are alike.
func (neighbours) HasLargerPeer() bool { return false }

// AddressesIn returns the neighbours.
func (n neighbours) AddressesIn(string) []string { return n }

// The same if the last owner is gone too.
func TestEndThatALostOwnerCouldNotRecordIsNotForgotten(t *testing.T) {
	for name, first := range map[string]neighbours{"left with the successor": {"b", "c"}, "left with another instance": {"c", "b"}} {
		synctest.Test(t, func(t *testing.T) {
			s := newSuccession(t)
			s.stops = append(s.stops, s.electWith("a", s.workers, first))
			s.eventually("a is the owner", func() bool { return s.owner() != "" })
			s.instances.add(&term.Elector{Instance: "c", Now: time.Now})
			s.electWith("b", s.workers, neighbours{"a", "c"})
			recovered := s.endWithoutRecord()
			time.Sleep(time.Second)
			s.workers.crash(s.record().Groups[0].Workers[0])
			s.instances.remove("a")
			s.stops[0]()
			recovered()
			time.Sleep(3 * time.Second)
			assert.Equal(t, s.record().Phase, work.Completed, name)
			assert.Equal(t, s.agents.Started(task), 1, name)
		})
	}
}

// Guards against two runs of a task: its worker forgets an end that a new owner knows of and has not recorded.
func TestEndIsNotAcknowledgedBeforeTheNextOwnerHasRecordedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "a", "b")
		recovered := s.endWithoutRecord()
		// The owner's key needs a commit that succeeds; the records do not.
		recovered()
		failing := s.failRecords()
		s.replaceOwner()
		time.Sleep(3 * time.Second)
		assert.Equal(t, s.agents.UnacknowledgedExits(), 1)
		failing.Store(false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, s.agents.UnacknowledgedExits(), 0)
		assert.Equal(t, s.record().Phase, work.Completed)
		assert.Equal(t, s.agents.Started(task), 1)
	})
}
