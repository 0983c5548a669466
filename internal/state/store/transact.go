package store

import (
	"context"
	"fmt"
	"time"
)

// Item is one key with its value and the revisions of its last change and of its creation.
type Item struct {
	Key      string
	Data     []byte
	Revision int64
	Created  int64
	// Lease is the lease to which the key is bound, or zero.
	Lease int64
}

// Change is a written item, or the key and revision of a deletion.
type Change struct {
	Item
	Deleted bool
}

// Expectation is the revision that a key must have for a transaction to take effect; zero means that it must not exist.
type Expectation struct {
	Key      string
	Revision int64
}

// Write sets a key and binds it to Lease unless that is zero.
type Write struct {
	Key   string
	Data  []byte
	Lease int64
}

// Transaction takes effect atomically, and only if all expectations hold.
type Transaction struct {
	Expected []Expectation
	Writes   []Write
	Deletes  []string
}

const (
	// MaxEntries is the maximum number of expectations, writes and deletes together in one transaction.
	MaxEntries = 32
	// DefaultMaxValueBytes is the size of the largest value where the settings give none.
	DefaultMaxValueBytes = 1 << 20
)

// Transactor is a key-value store with transactions over several keys.
//
// An UnavailableError means that nothing was done, a LostError that the call may have taken effect or may still do so, a
// RefusedError that an expectation did not hold, a RejectedError that the store will never accept the transaction as it is, and a
// HistoryError that a watch must start again from a Range.
type Transactor interface {
	// Item returns one key; a missing key has revision zero.
	Item(ctx context.Context, key string) (Item, error)
	// Range returns all keys below the prefix; a watch after revision asOf misses no change.
	Range(ctx context.Context, prefix string) (items []Item, asOf int64, err error)
	// Changes waits for changes below the prefix after the revision, and returns the revision to resume after.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, upTo int64, err error)
	// Commit executes the transaction and returns its revision.
	Commit(ctx context.Context, tx Transaction) (int64, error)
	// Grant creates a lease and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew extends a lease, or returns a LapsedError if it no longer exists.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, lease int64) error
}

// RefusedError means that an expectation of a transaction did not hold; Items are the current items of its expected keys.
type RefusedError struct{ Items []Item }

// Error includes the number of expectations.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: transaction refused, as one of %d expected revisions does not hold", len(e.Items))
}

// Current returns the item of the key at the time of the refusal, with revision zero if the key did not exist.
func (e *RefusedError) Current(key string) Item {
	for _, item := range e.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{Key: key}
}

// RejectedError means that the store does not accept a transaction as it is, for example because a value is too large. The
// transaction had no effect, and would have none if it were sent again.
type RejectedError struct{ Cause string }

// Error includes the cause.
func (e *RejectedError) Error() string { return "store: transaction rejected: " + e.Cause }

// HistoryError means that the store no longer has the changes that a watch asked for.
type HistoryError struct{ After int64 }

// Error names the revision.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("store: changes after revision %d are no longer available", e.After)
}
