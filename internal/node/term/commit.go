package term

import (
	"cmp"
	"context"
	"errors"
	"slices"
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
	// maxCommitBytes limits the values of one transaction, unless it has only one: the slowest link of an instance, 10 Mbit/s, takes
	// 0.3 s for them.
	maxCommitBytes = 256 << 10
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

// commit makes the updates durable, each in as many transactions as it needs, and dispatches the actions that they permit.
func (t *term) commit(ctx context.Context, updates []group.Update) {
	writes := t.prepareWrites(updates)
	var pieces []piece
	for _, w := range writes {
		pieces = append(pieces, w.pieces...)
	}
	failed := false
	for len(pieces) > 0 {
		n := t.fitCount(pieces)
		if !t.commitPieces(ctx, pieces[:n]) {
			failed = true
		}
		pieces = pieces[n:]
		t.afterCommit(ctx)
	}
	t.state.Lock()
	for _, w := range writes {
		if w.stopped && !w.postponed {
			t.engine.Uncommitted(w.update)
		}
	}
	t.state.Unlock()
	if failed {
		pause.For(ctx, t.jitter(storeRetryDelay/2))
	}
	t.state.Lock()
	t.commitsInFlight--
	t.commitFailed = failed
	t.state.Unlock()
	t.notify()
}

// afterCommit dispatches the actions that durable updates permit, and acknowledges durable exits to workers.
func (t *term) afterCommit(ctx context.Context) {
	t.state.Lock()
	t.wakeSessions()
	actions := t.engine.Actions()
	t.state.Unlock()
	t.dispatch(ctx, actions)
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

// prepareWrites encodes the updates, those with the fewest pieces first, so that they don't wait for large ones. Updates that can't
// be encoded are postponed.
func (t *term) prepareWrites(updates []group.Update) []*write {
	var writes []*write
	for _, u := range updates {
		w, err := t.prepareWrite(u)
		if err != nil {
			t.postpone(u, piece{key: work.RecordKey(u.Job)}, err)
			continue
		}
		writes = append(writes, w)
	}
	slices.SortStableFunc(writes, func(a, b *write) int { return cmp.Compare(len(a.pieces), len(b.pieces)) })
	return writes
}

// fitCount returns how many of the pieces, counted from the first, go into one transaction. Those of an update that the store has
// rejected before go alone.
func (t *term) fitCount(pieces []piece) int {
	entries, size := t.Limits.entries()-1, maxCommitBytes
	for i, p := range pieces {
		entries -= p.entries()
		size -= len(p.data)
		alone := p.of.update.Rejected || pieces[0].of.update.Rejected
		if i > 0 && (entries < 0 || size < 0 || alone) {
			return i
		}
	}
	return len(pieces)
}

// commitPieces makes the pieces durable in one transaction, and reports false if the store has failed. Pieces of writes of which an
// earlier piece is not durable are left out. A transaction that the store rejects is halved until the pieces that it does not accept
// are alone.
func (t *term) commitPieces(ctx context.Context, pieces []piece) bool {
	pieces = slices.DeleteFunc(slices.Clone(pieces), func(p piece) bool { return p.of.stopped })
	if len(pieces) == 0 {
		return true
	}
	tx := t.buildTransaction(pieces)
	call, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	revision, err := t.Store.Commit(call, tx)
	if err == nil {
		t.applyCommitted(pieces, revision)
		return true
	}
	var rejected *store.RejectedError
	switch {
	case !errors.As(err, &rejected):
		t.logFailure(len(pieces), tx, err)
		t.applyFailed(pieces, err)
		return false
	case len(pieces) == 1:
		t.reject(pieces[0], err)
		return true
	default:
		half := len(pieces) / 2
		first := t.commitPieces(ctx, pieces[:half])
		return t.commitPieces(ctx, pieces[half:]) && first
	}
}

// buildTransaction returns the transaction that makes the pieces durable while this instance is the owner.
func (t *term) buildTransaction(pieces []piece) store.Transaction {
	t.state.Lock()
	defer t.state.Unlock()
	tx := store.Transaction{Expected: []store.Expectation{{Key: work.OwnerKey, Revision: t.token}}}
	for _, p := range pieces {
		if p.key != "" {
			tx.Expected = append(tx.Expected, store.Expectation{Key: p.key, Revision: t.revisions[p.key]})
		}
		if p.data != nil {
			tx.Writes = append(tx.Writes, store.Write{Key: p.key, Data: p.data})
		}
		tx.Deletes = append(tx.Deletes, p.deletes...)
	}
	return tx
}

// applyCommitted records that the pieces are durable since the revision.
func (t *term) applyCommitted(pieces []piece, revision int64) {
	now := t.Now()
	t.state.Lock()
	defer t.state.Unlock()
	t.Meter.Group(len(pieces))
	t.ownedAt = max(t.ownedAt, revision)
	for _, p := range pieces {
		if p.data != nil {
			t.revisions[p.key] = revision
		}
		for _, key := range p.deletes {
			delete(t.revisions, key)
		}
		u := p.of.update
		if p.head && u.Record.Phase.Final() {
			t.Log.Emit(event.JobRecorded, event.Fields{"job": u.Job, "phase": u.Record.Phase.String(), "token": t.token})
		}
		if p.head {
			t.engine.HeadCommitted(u)
		}
		if p.of.left--; p.of.left == 0 {
			t.engine.Committed(u, now)
			if u.Delete {
				t.forget(u.Job)
			}
		}
	}
}

// forget drops what the term knows of a deleted job. The caller holds t.state.
func (t *term) forget(job string) {
	delete(t.partKeys, job)
	delete(t.partLimits, job)
}

// applyFailed records that the pieces may not be durable, and are to be written again.
func (t *term) applyFailed(pieces []piece, err error) {
	t.state.Lock()
	defer t.state.Unlock()
	t.Meter.Group(len(pieces))
	for _, p := range pieces {
		p.of.stopped = true
	}
	var refused *store.RefusedError
	if errors.As(err, &refused) {
		t.handleRefusal(refused, pieces)
	}
}

// handleRefusal handles a transaction whose expectations did not hold: ownership is lost, or an earlier write with a lost
// response has taken effect and changed the revisions. The caller holds t.state.
func (t *term) handleRefusal(refused *store.RefusedError, pieces []piece) {
	if refused.Current(work.OwnerKey).Revision != t.token {
		if t.cause == nil {
			t.cause = &fencedError{by: "by the key-value store"}
		}
		t.cancel()
		return
	}
	for _, p := range pieces {
		if p.key != "" {
			t.revisions[p.key] = refused.Current(p.key).Revision
		}
	}
}

// reject handles a piece that the store does not accept. If it can be divided, the record is divided further and written at once;
// otherwise the update is postponed.
func (t *term) reject(p piece, err error) {
	p.of.stopped = true
	if !p.divisible {
		p.of.postponed = true
		t.postpone(p.of.update, p, err)
		return
	}
	t.state.Lock()
	t.partLimits[p.of.update.Job] = len(p.data) / 2
	t.state.Unlock()
	t.logRejection(p.of.update, p, err, 0)
}

// postpone returns an update to the engine of which a piece can't be written as it is.
func (t *term) postpone(u group.Update, p piece, err error) {
	t.state.Lock()
	delay := t.engine.Rejected(u, t.Now())
	t.state.Unlock()
	t.logRejection(u, p, err, delay)
}

func (t *term) logRejection(u group.Update, p piece, err error, delay time.Duration) {
	t.Meter.Count("records.rejected")
	t.Log.Emit(event.RecordRejected, event.Fields{
		"job": u.Job, "key": p.key, "bytes": len(p.data), "limit": t.Limits.valueBytes(), "phase": u.Record.Phase.String(), "error": err.Error(),
		"retryIn": delay.String(), "token": t.token,
	})
}

// logFailure logs a failed transaction with its largest value.
func (t *term) logFailure(changes int, tx store.Transaction, err error) {
	var largest store.Write
	for _, w := range tx.Writes {
		if len(w.Data) >= len(largest.Data) {
			largest = w
		}
	}
	t.Log.Emit(event.CommitFailed, event.Fields{"changes": changes, "error": err.Error(), "largest": largest.Key, "bytes": len(largest.Data), "token": t.token})
}
