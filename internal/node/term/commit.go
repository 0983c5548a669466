package term

import (
	"context"
	"errors"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// updatesPerCommit is how many changes go into one transaction: each takes an expectation and a record, and one entry of
	// the transaction is the owner's key.
	updatesPerCommit = (store.MaxEntries - 1) / 2
	// commitsMost bounds the transactions on their way at a time. Where a third of the answers is lost, each for a second, a
	// dozen others must go on.
	commitsMost = 16
)

// takeUpdates returns the changes of one transaction, or nothing if these should wait for more. While one is on its way,
// another leaves only if the jobs that have changed since would fill it, and none does while the service fails. The caller
// holds the state.
func (t *term) takeUpdates(now time.Time) []sets.Update {
	switch {
	case t.commits == 0:
	case t.commits >= commitsMost || t.commitFailed || t.engine.Changed() < updatesPerCommit:
		return nil
	}
	updates := t.engine.Updates(updatesPerCommit, now)
	if len(updates) > 0 {
		t.commits++
	}
	return updates
}

// commit makes updates durable, then releases what they allow and raises what workers may forget.
func (t *term) commit(ctx context.Context, updates []sets.Update) {
	failed := false
	for len(updates) > 0 {
		group := updates[:fitting(updates)]
		updates = updates[len(group):]
		if err := t.commitGroup(ctx, group); err != nil {
			failed = true
			t.Log.Emit(event.CommitFailed, event.Fields{"jobs": len(group), "error": err.Error(), "token": t.token})
		}
	}
	if failed {
		pause.For(ctx, jitter(retryPause/2))
	}
	t.state.Lock()
	t.commits--
	t.commitFailed = failed
	t.acknowledge()
	actions := t.engine.Actions()
	t.state.Unlock()
	t.dispatch(ctx, actions)
	t.wake()
}

// fitting is how many of the updates fit into one transaction.
func fitting(updates []sets.Update) int {
	left := store.MaxEntries - 1
	for i := range updates {
		left -= entries(&updates[i])
		if left < 0 {
			return i
		}
	}
	return len(updates)
}

// entries is how many entries of a transaction the update takes.
func entries(u *sets.Update) int {
	switch {
	case u.Forget:
		// The expectation and four keys to delete.
		return 5
	case u.Begun:
		return 3
	default:
		return 2
	}
}

// acknowledge raises what workers may forget. The caller holds the state.
func (t *term) acknowledge() {
	for id, number := range t.engine.Settle() {
		if s := t.sessions[id]; s != nil {
			s.acknowledge(number)
		}
	}
}

func (t *term) commitGroup(ctx context.Context, group []sets.Update) error {
	tx, err := t.transaction(group)
	if err != nil {
		return err
	}
	call, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	revision, err := t.Store.Commit(call, tx)
	now := t.Now()
	t.state.Lock()
	defer t.state.Unlock()
	t.Meter.Group(len(group))
	if err == nil {
		for _, u := range group {
			t.revisions[u.Job] = revision
			if u.Forget {
				delete(t.revisions, u.Job)
			}
			t.engine.Committed(u, now)
		}
		return nil
	}
	for _, u := range group {
		t.engine.Uncommitted(u)
	}
	var refused *store.RefusedError
	if errors.As(err, &refused) {
		t.refused(refused, group)
	}
	return err
}

// refused learns from a transaction that did not hold: ownership is gone, or an earlier write of ours whose answer was
// lost has taken effect after all. The caller holds the state.
func (t *term) refused(refused *store.RefusedError, group []sets.Update) {
	if refused.Current(work.OwnerKey).Revision != t.token {
		if t.cause == nil {
			t.cause = &fencedError{by: "in the key-value service"}
		}
		t.cancel()
		return
	}
	for _, u := range group {
		t.revisions[u.Job] = refused.Current(work.RecordKey(u.Job)).Revision
	}
}

func (t *term) transaction(group []sets.Update) (store.Transaction, error) {
	t.state.Lock()
	defer t.state.Unlock()
	tx := store.Transaction{Expected: []store.Expectation{{Key: work.OwnerKey, Revision: t.token}}}
	for i := range group {
		u := &group[i]
		tx.Expected = append(tx.Expected, store.Expectation{Key: work.RecordKey(u.Job), Revision: t.revisions[u.Job]})
		if u.Forget {
			tx.Deletes = append(tx.Deletes, work.RecordKey(u.Job), work.SpecKey(u.Job), work.CancelKey(u.Job), work.WaitKey(u.Queue, u.Job))
			continue
		}
		data, err := u.Record.Encode()
		if err != nil {
			return tx, err
		}
		tx.Writes = append(tx.Writes, store.Write{Key: work.RecordKey(u.Job), Data: data})
		if u.Begun {
			tx.Deletes = append(tx.Deletes, work.WaitKey(u.Queue, u.Job))
		}
	}
	return tx, nil
}
