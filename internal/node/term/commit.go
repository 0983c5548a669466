package term

import (
	"context"
	"errors"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// entriesPerUpdate is the most entries that one job takes in a transaction: expectation, record and the pending key, or
// expectation and four keys to delete.
const entriesPerUpdate = 5

// updatesPerCommit keeps a transaction within the service's bound, with one entry for the owner's key.
const updatesPerCommit = (store.MaxEntries - 1) / entriesPerUpdate

// commit makes updates durable, then releases what they allow and raises what workers may forget.
func (t *term) commit(ctx context.Context, updates []sets.Update, acknowledge map[string]int64) {
	failed := false
	for len(updates) > 0 {
		group := updates[:min(len(updates), updatesPerCommit)]
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
	t.committing = false
	if !failed {
		t.acknowledge(acknowledge)
	}
	actions := t.engine.Actions()
	t.state.Unlock()
	t.dispatch(ctx, actions)
	t.wake()
}

// acknowledge raises what workers may forget. The caller holds the state.
func (t *term) acknowledge(numbers map[string]int64) {
	for id, number := range numbers {
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
