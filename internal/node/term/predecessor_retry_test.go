package term_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/peer/grants"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// historyStore refuses the next reads of the history of the owner's key by its owner.
type historyStore struct {
	*fake.Transactor
	refuse atomic.Int32
}

// Changes fails for reads that don't wait for a change.
func (h *historyStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	if prefix == work.OwnerKey && wait < 500*time.Millisecond && h.refuse.Add(-1) >= 0 {
		return nil, after, &store.UnavailableError{Cause: "status 503"}
	}
	return h.Transactor.Changes(ctx, prefix, after, wait)
}

// Guards against a task of a lost worker that waits for the longest lease, as the store refused one read of the history of the owner's
// key though the last owner had reported its leases (issue 48, LOST).
func TestRefusedReadOfTheHistoryDoesNotProlongTheWaitForALostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		s.electWith("a", s.workers, nil)
		s.eventually("a is the owner", func() bool { return s.owner() != "" })
		kv := &historyStore{Transactor: s.store}
		s.electOn("b", kv, s.workers, nil)
		s.loseWorker()
		time.Sleep(1200 * time.Millisecond)
		kv.refuse.Store(1)
		s.replaceOwner()
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 6*time.Second, "%s", waited)
	})
}

// lossyDirectory loses the answer to the first question.
type lossyDirectory struct {
	*directory
	asked atomic.Int32
}

// Grants asks the instance, and loses its first answer.
func (l *lossyDirectory) Grants(ctx context.Context, instance string, request *grants.Request) (*grants.Reply, error) {
	reply, err := l.directory.Grants(ctx, instance, request)
	if l.asked.Add(1) == 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, err
}

// The same for one lost answer of the last owner.
func TestLostAnswerOfTheLastOwnerDoesNotProlongTheWaitForALostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		s.electWith("a", s.workers, nil)
		s.eventually("a is the owner", func() bool { return s.owner() != "" })
		b := s.elector("b", s.store, s.workers, nil)
		b.Predecessors = &lossyDirectory{directory: &s.instances}
		s.run(b)
		s.loseWorker()
		time.Sleep(1200 * time.Millisecond)
		s.replaceOwner()
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 6*time.Second, "%s", waited)
	})
}

// Guards against work that is done again, as the history of the owner's key is gone though the last owner had reported the end
// (issue 48, LOST).
func TestEndIsNotForgottenIfTheHistoryOfOwnersIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		s.electWith("a", s.workers, nil)
		s.eventually("a is the owner", func() bool { return s.owner() != "" })
		kv := &historyStore{Transactor: s.store}
		s.electOn("b", kv, s.workers, nil)
		recovered := s.endWithoutRecord()
		s.workers.crash(s.record().Groups[0].Workers[0])
		s.store.CompactHistory()
		s.replaceOwner()
		s.store.CompactHistory()
		recovered()
		time.Sleep(3 * time.Second)
		assert.Equal(t, s.record().Phase, work.Completed)
		assert.Equal(t, s.agents.Started(task), 1)
	})
}

// Guards against work that is done again, as an instance that has seen no owner asks nobody for the ends that the last one left.
func TestEndIsNotForgottenIfTheLastOwnerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		s.stops = append(s.stops, s.electWith("a", s.workers, neighbours{"c"}))
		s.eventually("a is the owner", func() bool { return s.owner() != "" })
		s.instances.add(s.elector("c", s.store, s.workers, nil))
		recovered := s.endWithoutRecord()
		time.Sleep(time.Second)
		s.workers.crash(s.record().Groups[0].Workers[0])
		s.instances.remove("a")
		s.stops[0]()
		recovered()
		s.electWith("b", s.workers, neighbours{"c"})
		time.Sleep(3 * time.Second)
		assert.Equal(t, s.record().Phase, work.Completed)
		assert.Equal(t, s.agents.Started(task), 1)
	})
}
