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
		if !t.commitBatch(ctx, batch) {
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

// commitBatch makes the updates durable in one transaction, and reports false if the store has failed. A transaction that the store
// rejects is halved until the updates that it does not accept are alone.
func (t *term) commitBatch(ctx context.Context, batch []group.Update) bool {
	tx, batch := t.buildTransaction(batch)
	if len(batch) == 0 {
		return true
	}
	call, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	revision, err := t.Store.Commit(call, tx)
	if err == nil {
		t.applyCommitted(batch, revision)
		return true
	}
	var rejected *store.RejectedError
	switch {
	case !errors.As(err, &rejected):
		t.logFailure(len(batch), tx, err)
		t.applyUncommitted(batch, err)
		return false
	case len(batch) == 1:
		t.reject(batch[0], largestWrite(tx), err)
		return true
	default:
		half := len(batch) / 2
		first := t.commitBatch(ctx, batch[:half])
		return t.commitBatch(ctx, batch[half:]) && first
	}
}

// applyCommitted records that the updates are durable since the revision.
func (t *term) applyCommitted(batch []group.Update, revision int64) {
	now := t.Now()
	t.state.Lock()
	defer t.state.Unlock()
	t.Meter.Group(len(batch))
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
}

// applyUncommitted records that the updates failed and are to be tried again.
func (t *term) applyUncommitted(batch []group.Update, err error) {
	t.state.Lock()
	defer t.state.Unlock()
	t.Meter.Group(len(batch))
	for _, u := range batch {
		t.engine.Uncommitted(u)
	}
	var refused *store.RefusedError
	if errors.As(err, &refused) {
		t.handleRefusal(refused, batch)
	}
}

// reject postpones an update that the store does not accept.
func (t *term) reject(u group.Update, largest store.Write, err error) {
	t.state.Lock()
	delay := t.engine.Rejected(u, t.Now())
	t.state.Unlock()
	t.Meter.Count("records.rejected")
	t.Log.Emit(event.RecordRejected, event.Fields{
		"job": u.Job, "key": largest.Key, "bytes": len(largest.Data), "phase": u.Record.Phase.String(), "error": err.Error(), "retryIn": delay.String(), "token": t.token,
	})
}

// logFailure logs a failed transaction with its largest value.
func (t *term) logFailure(jobs int, tx store.Transaction, err error) {
	largest := largestWrite(tx)
	t.Log.Emit(event.CommitFailed, event.Fields{"jobs": jobs, "error": err.Error(), "largest": largest.Key, "bytes": len(largest.Data), "token": t.token})
}

// largestWrite returns the write with the most data, or none if the transaction has no writes.
func largestWrite(tx store.Transaction) (largest store.Write) {
	for _, w := range tx.Writes {
		if len(w.Data) >= len(largest.Data) {
			largest = w
		}
	}
	return largest
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

// buildTransaction returns the transaction and the updates that it makes durable: those whose record can't be encoded are left out
// and postponed.
func (t *term) buildTransaction(updates []group.Update) (store.Transaction, []group.Update) {
	t.state.Lock()
	defer t.state.Unlock()
	tx := store.Transaction{Expected: []store.Expectation{{Key: work.OwnerKey, Revision: t.token}}}
	var batch []group.Update
	for _, u := range updates {
		data, err := u.Record.Encode()
		if err != nil {
			delay := t.engine.Rejected(u, t.Now())
			t.Log.Emit(event.RecordRejected, event.Fields{"job": u.Job, "error": err.Error(), "retryIn": delay.String(), "token": t.token})
			continue
		}
		batch = append(batch, u)
		tx.Expected = append(tx.Expected, store.Expectation{Key: work.RecordKey(u.Job), Revision: t.revisions[u.Job]})
		if u.Delete {
			tx.Deletes = append(tx.Deletes, work.RecordKey(u.Job), work.SpecKey(u.Job), work.CancelKey(u.Job), work.WaitKey(u.Queue, u.Job))
			continue
		}
		tx.Writes = append(tx.Writes, store.Write{Key: work.RecordKey(u.Job), Data: data})
		if u.NoLongerPending {
			tx.Deletes = append(tx.Deletes, work.WaitKey(u.Queue, u.Job))
		}
	}
	return tx, batch
}
