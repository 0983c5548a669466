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
	// withholdAfter is how long a worker does not answer before it is listed in the record of leases.
	withholdAfter = 1500 * time.Millisecond
	// withholdAfterFailure is the same if a poll has failed since the last answer.
	withholdAfterFailure = 400 * time.Millisecond
	// withholdInterval is the time between checks whether the record of leases is up to date.
	withholdInterval = 233 * time.Millisecond
	// withholdStep is by how much a time of the stored record must differ from the present one for it to be written again.
	withholdStep = 200 * time.Millisecond
	// withholdTimeout limits one write of the record; then it is read back.
	withholdTimeout = 300 * time.Millisecond
	// forgottenRetention is how long the record lists a worker that has left and has nothing alive any more.
	forgottenRetention = 30 * time.Second
	// maxLeaseRecordBytes limits the size of the record, which the slowest instances must read in each term.
	maxLeaseRecordBytes = 32 << 10
)

// withheld is the stored record of the workers to which no leases are granted, so that the next owners know when their leases end.
//
// A worker is among workers from before the first write that lists it until a later write, which does not list it, is known to have
// taken effect: a write without an answer may have been executed, or may still be.
type withheld struct {
	revision int64
	// record is the last record that is known to be stored.
	record  work.LeaseRecord
	writes  int
	workers map[string]bool
	// forgottenAt is when the engine was first seen to have forgotten a listed worker.
	forgottenAt map[string]time.Time
	// inherited is the record that was stored when the jobs were loaded, with its revision and when it was read.
	inherited         work.LeaseRecord
	inheritedRevision int64
	readAt            time.Time
	// changed asks for a check at once.
	changed chan struct{}
}

// loadWithheld applies the stored record, which was read before now. The caller holds t.state.
func (t *term) loadWithheld(item store.Item, now time.Time) {
	t.withheld.revision = item.Revision
	if item.Revision == 0 {
		return
	}
	record, err := work.DecodeLeaseRecord(item.Data)
	if err != nil {
		t.Log.Emit(event.RecordBad, event.Fields{"key": item.Key, "error": err.Error()})
		return
	}
	t.withheld.record = *record
	t.withheld.inherited, t.withheld.inheritedRevision, t.withheld.readAt = *record, item.Revision, now
	for id := range record.Remaining {
		t.withheld.workers[id] = true
	}
}

// inheritRecord applies the times of the stored record, if all owners since it was written have withheld leases as it demands.
func (t *term) inheritRecord(ctx context.Context) {
	t.state.Lock()
	record, revision := t.withheld.inherited, t.withheld.inheritedRevision
	t.state.Unlock()
	if len(record.Remaining) == 0 {
		return
	}
	if err := t.checkWithheld(ctx, revision); err != nil {
		t.Log.Emit(event.LeasesInherited, event.Fields{"token": t.token, "from": "record", "error": err.Error()})
		return
	}
	known := group.InheritedLeases{ByWorker: make(map[string]time.Time)}
	for id, remaining := range record.Remaining {
		known.ByWorker[id] = t.recordedEnd(record, revision, remaining)
	}
	t.state.Lock()
	t.engine.InheritLeases(known)
	t.state.Unlock()
	t.notify()
	t.Log.Emit(event.LeasesInherited, event.Fields{"token": t.token, "from": "record", "fromToken": record.Token, "workers": len(record.Remaining)})
}

// recordedEnd returns when a lease has certainly expired that may have lasted for the remaining time as the record was written. The record
// was written before this instance first saw its revision, and the term of its owner began before that one was first seen: the latter is
// seen as it happens, so that many owners in a row hardly prolong the time.
func (t *term) recordedEnd(record work.LeaseRecord, revision int64, remaining time.Duration) time.Time {
	t.state.Lock()
	writtenBy := t.withheld.readAt
	t.state.Unlock()
	if at, seen := t.firstSighting(revision); seen {
		writtenBy = at
	}
	end := writtenBy.Add(onThisClock(remaining))
	if termSeen, seen := t.firstSighting(record.Token); seen && record.TermAge > 0 {
		end = earlier(end, termSeen.Add(onThisClock(record.TermAge+remaining)))
	}
	return end
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// checkWithheld returns an error unless all owners since the revision have withheld leases as the record demands.
func (t *term) checkWithheld(ctx context.Context, revision int64) error {
	later, err := t.ownersSince(ctx, revision)
	if err != nil {
		return err
	}
	for _, owner := range later {
		if !owner.Withholds {
			return &earlierReleaseError{instance: owner.Instance}
		}
	}
	return nil
}

// mayRetry reports whether a read failed for a cause that may pass.
func mayRetry(err error) bool {
	var unavailable *store.UnavailableError
	var lost *store.LostError
	return errors.As(err, &unavailable) || errors.As(err, &lost)
}

// earlierReleaseError means that an owner may have granted leases that the record withholds.
type earlierReleaseError struct{ instance string }

// Error names the owner.
func (e *earlierReleaseError) Error() string {
	return "owner " + e.instance + " is of a release that does not withhold leases"
}

// mayGrant reports whether a lease may be granted to the worker. The caller holds t.state.
func (t *term) mayGrant(worker string) bool { return !t.closed && !t.withheld.workers[worker] }

// withholdLeases keeps the stored record up to date until the term ends.
func (t *term) withholdLeases(ctx context.Context) {
	ticker := time.NewTicker(withholdInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.withheld.changed:
		case <-ticker.C:
		}
		if ctx.Err() != nil {
			return
		}
		record, expected, due := t.nextLeaseRecord(t.Now())
		if due && !t.writeLeases(ctx, record, expected) && !pause.For(ctx, t.jitter(storeRetryDelay/2)) {
			return
		}
	}
}

// nextLeaseRecord returns the record to be written and the revision that it replaces, or false if the stored one is good enough. From
// now on, no leases are granted to the workers that it lists.
func (t *term) nextLeaseRecord(now time.Time) (record work.LeaseRecord, expected int64, due bool) {
	t.state.Lock()
	defer t.state.Unlock()
	remaining := t.silentLeases(now)
	if !t.recordDue(remaining) {
		return work.LeaseRecord{}, 0, false
	}
	t.withheld.writes++
	for id := range remaining {
		t.withheld.workers[id] = true
	}
	return work.LeaseRecord{Token: t.token, Write: t.withheld.writes, TermAge: now.Sub(t.requestedAt), Remaining: remaining}, t.withheld.revision, true
}

// silentLeases returns for how long the leases on workers that don't answer may last. The caller holds t.state.
func (t *term) silentLeases(now time.Time) map[string]time.Duration {
	record := work.LeaseRecord{Remaining: make(map[string]time.Duration)}
	limit := min(maxLeaseRecordBytes, t.Limits.valueBytes())
	for _, w := range t.engine.Workers() {
		if t.mayWithhold(w, now) && record.Fits(w.ID, limit) {
			record.Remaining[w.ID] = max(w.HeldUntil().Sub(now), 0)
		}
	}
	for id, left := range t.withheld.record.Remaining {
		if t.keepsForgotten(id, now) && record.Fits(id, limit) {
			record.Remaining[id] = left
		}
	}
	return record.Remaining
}

// keepsForgotten reports whether the record still lists a worker that the engine has forgotten: the ends of its tasks may not be on
// record. The caller holds t.state.
func (t *term) keepsForgotten(worker string, now time.Time) bool {
	if t.engine.Worker(worker) != nil {
		delete(t.withheld.forgottenAt, worker)
		return false
	}
	at, forgotten := t.withheld.forgottenAt[worker]
	if !forgotten {
		at = now
		t.withheld.forgottenAt[worker] = at
	}
	return now.Sub(at) < forgottenRetention
}

// mayWithhold reports whether the worker does not answer, and may have tasks or is listed already. One that has never answered in this
// term has no lease of it. The caller holds t.state.
func (t *term) mayWithhold(w *group.Worker, now time.Time) bool {
	s := t.sessions[w.ID]
	switch {
	case s != nil && !s.missesPolls() && s.answeredWithin(withholdAfter, now):
		return false
	case t.withheld.workers[w.ID]:
		return true
	case s == nil:
		return w.Busy()
	default:
		return w.Busy() && (s.neverAnswered() || s.missesPolls() && now.Sub(s.lastSeen()) >= withholdAfterFailure || now.Sub(s.lastSeen()) >= withholdAfter)
	}
}

// recordDue reports whether the stored record lists other workers, or other times for them. The caller holds t.state.
func (t *term) recordDue(remaining map[string]time.Duration) bool {
	stored := t.withheld.record.Remaining
	if len(remaining) != len(t.withheld.workers) || len(remaining) != len(stored) {
		return true
	}
	for id, left := range remaining {
		if before, listed := stored[id]; !listed || (before-left).Abs() >= withholdStep || before > 0 && left == 0 {
			return true
		}
	}
	return false
}

// writeLeases writes the record, and reports whether it is certainly stored.
func (t *term) writeLeases(ctx context.Context, record work.LeaseRecord, expected int64) bool {
	data, err := record.Encode()
	if err != nil {
		t.Log.Emit(event.RecordBad, event.Fields{"key": work.LeasesKey, "error": err.Error()})
		return false
	}
	call, done := context.WithTimeout(ctx, withholdTimeout)
	revision, err := t.Store.Commit(call, store.Transaction{
		Expected: []store.Expectation{{Key: work.OwnerKey, Revision: t.token}, {Key: work.LeasesKey, Revision: expected}},
		Writes:   []store.Write{{Key: work.LeasesKey, Data: data}},
	})
	done()
	if err != nil {
		return t.readLeasesBack(ctx, err)
	}
	t.leasesWritten(record, revision)
	return true
}

// readLeasesBack finds out which record is stored after a write has failed, and reports whether it is the last one.
func (t *term) readLeasesBack(ctx context.Context, cause error) bool {
	var refused *store.RefusedError
	if ctx.Err() != nil || errors.As(cause, &refused) && refused.Current(work.OwnerKey).Revision != t.token {
		return false
	}
	call, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	item, err := t.Store.Item(call, work.LeasesKey)
	if err != nil {
		t.Log.Emit(event.StoreLost, event.Fields{"call": "leases", "error": errors.Join(cause, err).Error()})
		return false
	}
	t.state.Lock()
	changed, writes := item.Revision != t.withheld.revision, t.withheld.writes
	t.state.Unlock()
	if !changed {
		return false
	}
	record, err := work.DecodeLeaseRecord(item.Data)
	if err != nil {
		t.Log.Emit(event.RecordBad, event.Fields{"key": item.Key, "error": err.Error()})
		return false
	}
	if record.Token != t.token {
		t.end(&fencedError{by: "by the record of leases"})
		return false
	}
	t.leasesWritten(*record, item.Revision)
	return record.Write == writes
}

// leasesWritten records that the record is stored, so that all writes before the revision can no longer take effect; it wakes the
// sessions of the workers that it no longer lists.
func (t *term) leasesWritten(record work.LeaseRecord, revision int64) {
	t.state.Lock()
	defer t.state.Unlock()
	before := t.withheld.workers
	t.withheld.revision, t.withheld.record, t.withheld.workers = revision, record, make(map[string]bool)
	t.ownedAt = max(t.ownedAt, revision)
	for id := range record.Remaining {
		t.withheld.workers[id] = true
	}
	for id := range before {
		if s := t.sessions[id]; s != nil && !t.withheld.workers[id] {
			s.wake()
		}
	}
}

// missesPolls reports whether a poll has failed since the worker's last answer.
func (s *session) missesPolls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missedPolls > 0
}

// neverAnswered reports whether the worker has left polls unanswered, and answered none.
func (s *session) neverAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appliedAt.IsZero() && s.missedPolls > 0
}

// awaitGrant waits until leases may be granted again to a worker that has answered.
func (s *session) awaitGrant(ctx context.Context) {
	t := s.term
	now := t.Now()
	t.state.Lock()
	waits := !t.closed && t.withheld.workers[s.id] && !s.missesPolls() && s.answeredWithin(withholdAfter, now)
	t.state.Unlock()
	if !waits {
		return
	}
	select {
	case t.withheld.changed <- struct{}{}:
	default:
	}
	s.waitForCommit(ctx)
}
