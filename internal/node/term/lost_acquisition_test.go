package term_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// lostAcquisition is a store that executes the first creation of the owner's key, and loses its answer.
type lostAcquisition struct {
	*fake.Transactor
	lost    bool
	renewed atomic.Bool
}

// Commit executes the transaction.
func (l *lostAcquisition) Commit(ctx context.Context, tx store.Transaction) (int64, error) {
	revision, err := l.Transactor.Commit(ctx, tx)
	if err != nil || l.lost || len(tx.Writes) != 1 || tx.Writes[0].Key != work.OwnerKey {
		return revision, err
	}
	l.lost = true
	lease := tx.Writes[0].Lease
	time.AfterFunc(1200*time.Millisecond, func() {
		if !l.renewed.Load() {
			l.ExpireLease(lease)
		}
	})
	<-ctx.Done()
	return 0, &store.LostError{Cause: ctx.Err().Error()}
}

// Renew remembers that the owner knows of its lease.
func (l *lostAcquisition) Renew(ctx context.Context, lease int64) error {
	l.renewed.Store(true)
	return l.Transactor.Renew(ctx, lease)
}

// Guards against a fleet without an owner, and tasks of a lost worker that wait for the longest lease, as the answer to the creation of
// the owner's key was lost: the next owner found an owner in the history that remembers no term (issue 48, LOST).
func TestOwnerWhoseAnswerWasLostKnowsThatItIsTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		s.electWith("a", s.workers, nil)
		s.eventually("a is the owner", func() bool { return s.owner() != "" })
		s.electOn("b", &lostAcquisition{Transactor: s.store}, s.workers, nil)
		s.loseWorker()
		time.Sleep(1200 * time.Millisecond)
		s.replaceOwner()
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 6*time.Second, "%s", waited)
	})
}
