package term

import (
	"context"
	"errors"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// updatesPerCommit is how many updates go into one transaction: each takes an expectation and a record, and one entry of
	// the transaction is the expectation on the owner's key.
	updatesPerCommit = (store.MaxEntries - 1) / 2
	// maxCommitsInFlight limits the commits in progress. If a third of the responses is lost, each blocks a commit for a
	// second, and a dozen others must still make progress.
	maxCommitsInFlight = 16
)

// nextUpdates returns the updates for one commit, or none if they should wait for more. While a commit is in progress,
// another starts only if the jobs changed since then fill a transaction, and none starts after a failed one. The caller
// holds t.state.
func (t *term) nextUpdates(now time.Time) []group.Update {
	switch {
	case t.commitsInFlight == 0:
	case t.commitsInFlight >= maxCommitsInFlight || t.commitFailed || t.engine.ChangedJobs() < updatesPerCommit:
		return nil
	}
	updates := t.engine.Updates(updatesPerCommit, now)
	if len(updates) > 0 {
		t.commitsInFlight++
	}
	return updates
}

// commit makes the updates durable, then dispatches the actions that they permit and acknowledges durable exits to workers.
func (t *term) commit(ctx context.Context, updates []group.Update) {
	failed := false
	for len(updates) > 0 {
		batch := updates[:fitCount(updates)]
		updates = updates[len(batch):]
		if err := t.commitBatch(ctx, batch); err != nil {
			failed = true
		}
	}
	if failed {
		pause.For(ctx, t.jitter(storeRetryDelay/2))
	}
	t.state.Lock()
	t.commitsInFlight--
	t.commitFailed = failed
	t.wakeSessions()
	actions := t.engine.Actions()
	t.state.Unlock()
	t.dispatch(ctx, actions)
	t.notify()
}

// fitCount returns how many of the updates, counted from the first, fit into one transaction.
func fitCount(updates []group.Update) int {
	left := store.MaxEntries - 1
	for i := range updates {
		left -= entryCount(&updates[i])
		if left < 0 {
			return i
		}
	}
	return len(updates)
}

// entryCount returns how many entries of a transaction the update takes.
func entryCount(u *group.Update) int {
	switch {
	case u.Delete:
		// The expectation and four keys to delete.
		return 5
	case u.NoLongerPending:
		return 3
	default:
		return 2
	}
}

// wakeSessions wakes the sessions of the workers whose exits have become durable, so that they acknowledge them. The caller
// holds t.state.
func (t *term) wakeSessions() {
	for id := range t.engine.NewlyDurableExits() {
		if s := t.sessions[id]; s != nil {
			s.wake()
		}
	}
}

func (t *term) commitBatch(ctx context.Context, batch []group.Update) error {
	tx, err := t.buildTransaction(batch)
	if err != nil {
		return err
	}
	call, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	revision, err := t.Store.Commit(call, tx)
	if err != nil {
		t.logFailure(len(batch), tx, err)
	}
	now := t.Now()
	t.state.Lock()
	defer t.state.Unlock()
	t.Meter.Group(len(batch))
	if err == nil {
		for _, u := range batch {
			t.revisions[u.Job] = revision
			if u.Delete {
				delete(t.revisions, u.Job)
			}
			t.engine.Committed(u, now)
			if u.Record.Phase.Final() && !u.Delete {
				t.Log.Emit(event.JobRecorded, event.Fields{"job": u.Job, "phase": u.Record.Phase.String(), "token": t.token})
			}
		}
		return nil
	}
	for _, u := range batch {
		t.engine.Uncommitted(u)
	}
	var refused *store.RefusedError
	if errors.As(err, &refused) {
		t.handleRefusal(refused, batch)
	}
	return err
}

// logFailure logs a failed transaction with its largest value.
func (t *term) logFailure(jobs int, tx store.Transaction, err error) {
	var largest store.Write
	for _, w := range tx.Writes {
		if len(w.Data) > len(largest.Data) {
			largest = w
		}
	}
	t.Log.Emit(event.CommitFailed, event.Fields{"jobs": jobs, "error": err.Error(), "largest": largest.Key, "bytes": len(largest.Data), "token": t.token})
}

// handleRefusal handles a transaction whose expectations did not hold: ownership is lost, or an earlier write with a lost
// response has taken effect and changed the revisions. The caller holds t.state.
func (t *term) handleRefusal(refused *store.RefusedError, batch []group.Update) {
	if refused.Current(work.OwnerKey).Revision != t.token {
		if t.cause == nil {
			t.cause = &fencedError{by: "by the key-value store"}
		}
		t.cancel()
		return
	}
	for _, u := range batch {
		t.revisions[u.Job] = refused.Current(work.RecordKey(u.Job)).Revision
	}
}

func (t *term) buildTransaction(batch []group.Update) (store.Transaction, error) {
	t.state.Lock()
	defer t.state.Unlock()
	tx := store.Transaction{Expected: []store.Expectation{{Key: work.OwnerKey, Revision: t.token}}}
	for i := range batch {
		u := &batch[i]
		tx.Expected = append(tx.Expected, store.Expectation{Key: work.RecordKey(u.Job), Revision: t.revisions[u.Job]})
		if u.Delete {
			tx.Deletes = append(tx.Deletes, work.RecordKey(u.Job), work.SpecKey(u.Job), work.CancelKey(u.Job), work.WaitKey(u.Queue, u.Job))
			continue
		}
		data, err := u.Record.Encode()
		if err != nil {
			return tx, err
		}
		tx.Writes = append(tx.Writes, store.Write{Key: work.RecordKey(u.Job), Data: data})
		if u.NoLongerPending {
			tx.Deletes = append(tx.Deletes, work.WaitKey(u.Queue, u.Job))
		}
	}
	return tx, nil
}
