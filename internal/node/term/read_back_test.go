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

// cutStore is a store that answers neither writes nor renewals while it is cut off.
type cutStore struct {
	*fake.Transactor
	cut atomic.Bool
}

func (c *cutStore) lost(ctx context.Context) error {
	<-ctx.Done()
	return &store.LostError{Cause: ctx.Err().Error()}
}

func (c *cutStore) Commit(ctx context.Context, tx store.Transaction) (int64, error) {
	if c.cut.Load() {
		return 0, c.lost(ctx)
	}
	return c.Transactor.Commit(ctx, tx)
}

func (c *cutStore) Renew(ctx context.Context, lease int64) error {
	if c.cut.Load() {
		return c.lost(ctx)
	}
	return c.Transactor.Renew(ctx, lease)
}

// Guards against two runs of a task: an owner that reads the record of leases of its successor back would report a revision at which it
// was no longer the owner, and hide the successor's leases from those that ask it.
func TestRecordOfASuccessorIsNoSignOfOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		kv := &cutStore{Transactor: s.store}
		s.electOn("a", kv, s.workers, nil)
		s.loseWorker()
		kv.cut.Store(true)
		item, err := s.store.Item(t.Context(), work.OwnerKey)
		assert.NilError(t, err)
		token := item.Revision
		s.store.ExpireLease(item.Lease)
		// The next owner, which the earlier one has not noticed, has written its record.
		lease, err := s.store.Grant(t.Context(), time.Second)
		assert.NilError(t, err)
		s.store.PutWithLease(work.OwnerKey, []byte(`{"instance":"b","withholds":true}`), lease)
		item, err = s.store.Item(t.Context(), work.OwnerKey)
		assert.NilError(t, err)
		successor := item.Revision
		record := work.LeaseRecord{Token: successor, Write: 1, Remaining: map[string]time.Duration{}}
		data, err := record.Encode()
		assert.NilError(t, err)
		s.store.Put(work.LeasesKey, data)
		time.Sleep(3 * time.Second)
		reply, err := s.instances.Grants(t.Context(), "a", &grants.Request{Token: successor + 100})
		assert.NilError(t, err)
		assert.Equal(t, reply.Token, token)
		assert.Assert(t, reply.Revision < successor, "%d, successor %d", reply.Revision, successor)
	})
}
