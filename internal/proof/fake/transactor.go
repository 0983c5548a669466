package fake

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
)

// CallOutcome is the outcome that is injected into one call to a Transactor.
type CallOutcome int

// The injected outcomes.
const (
	// Delivered lets the call succeed.
	Delivered CallOutcome = iota
	// Down fails the call before it has any effect.
	Down
	// ResponseLost executes the call and loses its response.
	ResponseLost
	// RequestLost loses the request; a lost commit is executed by the next DeliverLost.
	RequestLost
	// HistoryCompacted fails a watch because the history after its revision is compacted, so that the watcher must
	// read the keys again.
	HistoryCompacted
)

// Transactor is an in-memory key-value store with transactions.
type Transactor struct {
	mu      sync.Mutex
	items   map[string]store.Item
	history []store.Change
	// compactedRevision is the revision up to which the history has been dropped.
	compactedRevision int64
	leases            map[int64]bool
	revision          int64
	changed           chan struct{}
	undelivered       []store.Transaction
	nextFate          func(operation string) CallOutcome
	accepts           func(tx store.Transaction) bool
}

var _ store.Transactor = (*Transactor)(nil)

// NewTransactor returns an empty store at revision 1.
func NewTransactor() *Transactor {
	return &Transactor{items: make(map[string]store.Item), leases: make(map[int64]bool), changed: make(chan struct{}), revision: 1}
}

// SetOutcomes makes next choose the outcome of each call from now on; with nil every call succeeds. The operation is the
// method's name in lower case.
func (t *Transactor) SetOutcomes(next func(operation string) CallOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextFate = next
}

// SetAccepted makes the store reject the transactions for which accepts returns false, each with a store.RejectedError.
func (t *Transactor) SetAccepted(accepts func(tx store.Transaction) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepts = accepts
}

// SetLimits makes the store reject transactions with values of more bytes or with more entries.
func (t *Transactor) SetLimits(valueBytes, entries int) {
	t.SetAccepted(func(tx store.Transaction) bool {
		tooLarge := slices.ContainsFunc(tx.Writes, func(w store.Write) bool { return len(w.Data) > valueBytes })
		return !tooLarge && len(tx.Expected)+len(tx.Writes)+len(tx.Deletes) <= entries
	})
}

func (t *Transactor) outcome(operation string) CallOutcome {
	t.mu.Lock()
	next := t.nextFate
	t.mu.Unlock()
	if next == nil {
		return Delivered
	}
	return next(operation)
}

// outcomeError returns the error that the caller gets for an injected outcome, or nil if there is none.
func outcomeError(outcome CallOutcome) error {
	switch outcome {
	case Down:
		return &store.UnavailableError{Cause: "down"}
	case ResponseLost, RequestLost:
		return &store.LostError{Cause: "lost"}
	default:
		return nil
	}
}

// Item returns one key; a missing key has revision 0 and no data.
func (t *Transactor) Item(_ context.Context, key string) (store.Item, error) {
	if err := outcomeError(t.outcome("item")); err != nil {
		return store.Item{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	item := t.items[key]
	item.Key = key
	return item, nil
}

// Range returns all keys below the prefix in order, and the store's revision.
func (t *Transactor) Range(_ context.Context, prefix string) ([]store.Item, int64, error) {
	if err := outcomeError(t.outcome("range")); err != nil {
		return nil, 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []store.Item
	for key, item := range t.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, t.revision, nil
}

// Changes returns the changes below the prefix after the revision, and the revision that they reach. Without changes it
// waits for one, at most for the given time.
func (t *Transactor) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	outcome := t.outcome("changes")
	if outcome == HistoryCompacted {
		return nil, after, &store.HistoryError{After: after}
	}
	if err := outcomeError(outcome); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		found, upTo, changed, gone := t.changesSince(prefix, after), t.revision, t.changed, after < t.compactedRevision
		t.mu.Unlock()
		if gone {
			return nil, after, &store.HistoryError{After: after}
		}
		if len(found) > 0 {
			return found, upTo, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, &store.LostError{Cause: ctx.Err().Error()}
		case <-timer.C:
			return nil, upTo, nil
		case <-changed:
		}
	}
}

// CompactHistory drops all changes so far, as the real store does when it compacts its history.
func (t *Transactor) CompactHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compactedRevision, t.history = t.revision, nil
}

func (t *Transactor) changesSince(prefix string, after int64) []store.Change {
	var found []store.Change
	for _, change := range t.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			found = append(found, change)
		}
	}
	return found
}

// Commit executes a transaction and returns its revision, a store.RefusedError if an expected revision differs, or a
// store.RejectedError if it is not accepted.
func (t *Transactor) Commit(_ context.Context, tx store.Transaction) (int64, error) {
	outcome := t.outcome("commit")
	if outcome == Down {
		return 0, outcomeError(outcome)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accepts != nil && !t.accepts(tx) {
		return 0, &store.RejectedError{Cause: "not accepted"}
	}
	if outcome == RequestLost {
		t.undelivered = append(t.undelivered, tx)
		return 0, outcomeError(outcome)
	}
	revision, err := t.apply(tx)
	if outcome == ResponseLost {
		return 0, outcomeError(outcome)
	}
	return revision, err
}

// DeliverLost executes the commits that RequestLost has held back, and returns how many took effect; those whose expected
// revisions no longer hold are dropped.
func (t *Transactor) DeliverLost() (applied int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tx := range t.undelivered {
		if _, err := t.apply(tx); err == nil {
			applied++
		}
	}
	t.undelivered = nil
	return applied
}

func (t *Transactor) apply(tx store.Transaction) (int64, error) {
	refused := &store.RefusedError{}
	holds := true
	for _, x := range tx.Expected {
		item := t.items[x.Key]
		item.Key = x.Key
		refused.Items = append(refused.Items, item)
		holds = holds && item.Revision == x.Revision
	}
	if !holds {
		return 0, refused
	}
	t.revision++
	for _, w := range tx.Writes {
		if w.Lease != 0 && !t.leases[w.Lease] {
			return 0, &store.LapsedError{Lease: w.Lease}
		}
		item := store.Item{Key: w.Key, Data: w.Data, Revision: t.revision, Created: t.items[w.Key].Created, Lease: w.Lease}
		if item.Created == 0 {
			item.Created = t.revision
		}
		t.items[w.Key] = item
		t.history = append(t.history, store.Change{Item: item})
	}
	for _, key := range tx.Deletes {
		t.remove(key)
	}
	t.notifyChange()
	return t.revision, nil
}

func (t *Transactor) remove(key string) {
	if _, ok := t.items[key]; ok {
		delete(t.items, key)
		t.history = append(t.history, store.Change{Item: store.Item{Key: key, Revision: t.revision}, Deleted: true})
	}
}

func (t *Transactor) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Put writes a key without a condition, as an operator or a worker would.
func (t *Transactor) Put(key string, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, err := t.apply(store.Transaction{Writes: []store.Write{{Key: key, Data: data}}}); err != nil {
		panic("fake: an unconditional write was refused: " + err.Error())
	}
}

// PutWithLease writes a key that is deleted when the lease ends.
func (t *Transactor) PutWithLease(key string, data []byte, lease int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, err := t.apply(store.Transaction{Writes: []store.Write{{Key: key, Data: data, Lease: lease}}}); err != nil {
		panic("fake: an unconditional write was refused: " + err.Error())
	}
}

// Grant creates a lease and returns its ID; it ends only by Revoke or ExpireLease.
func (t *Transactor) Grant(context.Context, time.Duration) (int64, error) {
	if err := outcomeError(t.outcome("grant")); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.leases[t.revision] = true
	return t.revision, nil
}

// Renew returns a store.LapsedError if the lease has ended.
func (t *Transactor) Renew(_ context.Context, lease int64) error {
	if err := outcomeError(t.outcome("renew")); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leases[lease] {
		return &store.LapsedError{Lease: lease}
	}
	return nil
}

// Revoke ends a lease and deletes its keys.
func (t *Transactor) Revoke(_ context.Context, lease int64) error {
	if err := outcomeError(t.outcome("revoke")); err != nil {
		return err
	}
	t.ExpireLease(lease)
	return nil
}

// ExpireLease ends a lease and deletes its keys, as if it had expired; no fault is injected.
func (t *Transactor) ExpireLease(lease int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.leases, lease)
	t.revision++
	for key, item := range t.items {
		if item.Lease == lease {
			t.remove(key)
		}
	}
	t.notifyChange()
}
