package fake

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
)

// Fate is what becomes of one call to a Transactor.
type Fate int

// The fates.
const (
	// Delivered lets the call through.
	Delivered Fate = iota
	// Down refuses the call before it has any effect.
	Down
	// AnswerLost carries the call out and loses its answer.
	AnswerLost
	// CallLost loses the call; Deliver carries it out later.
	CallLost
	// HistoryGone makes a watch start afresh.
	HistoryGone
)

// Transactor is a key-value service with transactions, in memory.
type Transactor struct {
	mu      sync.Mutex
	items   map[string]store.Item
	history []store.Change
	// forgotten is the revision up to which the history is gone.
	forgotten int64
	leases    map[int64]bool
	revision  int64
	changed   chan struct{}
	late      []store.Transaction
	next      func(operation string) Fate
}

var _ store.Transactor = (*Transactor)(nil)

// NewTransactor returns an empty service.
func NewTransactor() *Transactor {
	return &Transactor{items: make(map[string]store.Item), leases: make(map[int64]bool), changed: make(chan struct{}), revision: 1}
}

// SetFates lets next decide the fate of each call from now on; nil lets all through. The operation is the method's name
// in lower case.
func (t *Transactor) SetFates(next func(operation string) Fate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = next
}

func (t *Transactor) fate(operation string) Fate {
	t.mu.Lock()
	next := t.next
	t.mu.Unlock()
	if next == nil {
		return Delivered
	}
	return next(operation)
}

// failure is the error of a call whose effect is not the caller's to know.
func failure(fate Fate) error {
	switch fate {
	case Down:
		return &store.UnavailableError{Cause: "down"}
	case AnswerLost, CallLost:
		return &store.LostError{Cause: "lost"}
	default:
		return nil
	}
}

// Item reads one key.
func (t *Transactor) Item(_ context.Context, key string) (store.Item, error) {
	if err := failure(t.fate("item")); err != nil {
		return store.Item{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	item := t.items[key]
	item.Key = key
	return item, nil
}

// Range reads all keys below the prefix.
func (t *Transactor) Range(_ context.Context, prefix string) ([]store.Item, int64, error) {
	if err := failure(t.fate("range")); err != nil {
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

// Changes returns what changed, or waits for it.
func (t *Transactor) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	what := t.fate("changes")
	if what == HistoryGone {
		return nil, after, &store.HistoryError{After: after}
	}
	if err := failure(what); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		found, upTo, changed, gone := t.since(prefix, after), t.revision, t.changed, after < t.forgotten
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

// ForgetHistory drops all changes so far, as a service does with old ones.
func (t *Transactor) ForgetHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgotten, t.history = t.revision, nil
}

func (t *Transactor) since(prefix string, after int64) []store.Change {
	var found []store.Change
	for _, change := range t.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			found = append(found, change)
		}
	}
	return found
}

// Commit carries out a transaction.
func (t *Transactor) Commit(_ context.Context, tx store.Transaction) (int64, error) {
	what := t.fate("commit")
	if what == Down {
		return 0, failure(what)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if what == CallLost {
		t.late = append(t.late, tx)
		return 0, failure(what)
	}
	revision, err := t.apply(tx)
	if what == AnswerLost {
		return 0, failure(what)
	}
	return revision, err
}

// Deliver carries out the calls that were lost on their way, as long as their expectations hold.
func (t *Transactor) Deliver() (applied int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tx := range t.late {
		if _, err := t.apply(tx); err == nil {
			applied++
		}
	}
	t.late = nil
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
	t.announce()
	return t.revision, nil
}

func (t *Transactor) remove(key string) {
	if _, ok := t.items[key]; ok {
		delete(t.items, key)
		t.history = append(t.history, store.Change{Item: store.Item{Key: key, Revision: t.revision}, Deleted: true})
	}
}

func (t *Transactor) announce() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Put writes a key as the operator or a worker would.
func (t *Transactor) Put(key string, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, err := t.apply(store.Transaction{Writes: []store.Write{{Key: key, Data: data}}}); err != nil {
		panic("fake: a write without conditions was refused: " + err.Error())
	}
}

// Grant makes a lease.
func (t *Transactor) Grant(context.Context, time.Duration) (int64, error) {
	if err := failure(t.fate("grant")); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.leases[t.revision] = true
	return t.revision, nil
}

// Renew prolongs a lease.
func (t *Transactor) Renew(_ context.Context, lease int64) error {
	if err := failure(t.fate("renew")); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leases[lease] {
		return &store.LapsedError{Lease: lease}
	}
	return nil
}

// Revoke ends a lease and removes its keys.
func (t *Transactor) Revoke(_ context.Context, lease int64) error {
	if err := failure(t.fate("revoke")); err != nil {
		return err
	}
	t.Lapse(lease)
	return nil
}

// Lapse ends a lease as time would.
func (t *Transactor) Lapse(lease int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.leases, lease)
	t.revision++
	for key, item := range t.items {
		if item.Lease == lease {
			t.remove(key)
		}
	}
	t.announce()
}
