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
	// Lease is the lease that the key is bound to, or zero.
	Lease int64
}

// Change is an item as it was written, or the key and revision of its deletion.
type Change struct {
	Item
	Deleted bool
}

// Expectation is the revision a key must have for a transaction to take effect; zero means that it does not exist.
type Expectation struct {
	Key      string
	Revision int64
}

// Write sets a key, bound to a lease if one is given.
type Write struct {
	Key   string
	Data  []byte
	Lease int64
}

// Transaction takes effect whole, and only if all expectations hold.
type Transaction struct {
	Expected []Expectation
	Writes   []Write
	Deletes  []string
}

// MaxEntries is the most expectations, writes and deletes that one transaction may hold together.
const MaxEntries = 32

// Transactor is a key-value service with transactions over several keys.
//
// Errors say what is known: UnavailableError means that nothing was done, LostError that the call may have taken effect
// or may still do so, RefusedError that an expectation did not hold, HistoryError that a watch must start afresh.
type Transactor interface {
	// Item reads one key; a missing key has revision zero.
	Item(ctx context.Context, key string) (Item, error)
	// Range reads all keys below the prefix; asOf is the revision from which a watch loses nothing.
	Range(ctx context.Context, prefix string) (items []Item, asOf int64, err error)
	// Changes waits for changes below the prefix after the revision and returns the revision to go on from.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, upTo int64, err error)
	// Commit carries out the transaction and returns its revision.
	Commit(ctx context.Context, tx Transaction) (int64, error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew prolongs a lease, or returns a LapsedError.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, lease int64) error
}

// RefusedError says that an expectation of a transaction did not hold; Items are its keys as they are now.
type RefusedError struct{ Items []Item }

// Error counts the keys.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: transaction refused, as one of %d expected revisions does not hold", len(e.Items))
}

// Current returns the key as the refusal found it; revision zero if it does not exist.
func (e *RefusedError) Current(key string) Item {
	for _, item := range e.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{Key: key}
}

// HistoryError says that the service no longer has the changes a watch asked for.
type HistoryError struct{ After int64 }

// Error names the revision.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("store: changes after revision %d are no longer available", e.After)
}
