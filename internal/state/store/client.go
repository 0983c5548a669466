package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
)

const (
	// envelopeVersion is the version of the envelope's layout.
	envelopeVersion = 1
	// maxWriteIDs is the number of write IDs that an envelope holds.
	maxWriteIDs = 16
	// callTimeout bounds one call to the store, in addition to the wait of a watch.
	callTimeout = 1500 * time.Millisecond
	// resolveInitialInterval and resolveMaxInterval are the first and the longest delay between attempts at a write.
	resolveInitialInterval = 20 * time.Millisecond
	resolveMaxInterval     = 500 * time.Millisecond
)

// envelope is the stored form of each value, with the IDs of the last writes to its key.
type envelope struct {
	Version  int             `json:"version"`
	WriteIDs []string        `json:"writes"`
	Data     json.RawMessage `json:"data"`
}

// Entry is a decoded value with the version and write IDs that are needed to replace it.
type Entry struct {
	Key     string
	Data    json.RawMessage
	Version int64
	// Superseded is true for the result of a Swap whose value was replaced before it was confirmed; Data and Version are then
	// those of the later value.
	Superseded bool
	writeIDs   []string
}

// hasEarlierWrites reports whether the key's history since the other entry is complete in the write IDs of this one.
func (e Entry) hasEarlierWrites(other Entry) bool {
	if len(other.writeIDs) == 0 {
		return len(e.writeIDs) < maxWriteIDs
	}
	return slices.Contains(e.writeIDs, other.writeIDs[len(other.writeIDs)-1])
}

// Client makes calls within the budget and resolves lost responses.
type Client struct {
	driver Driver
	budget *Budget
	now    func() time.Time
	newID  func() string
	// Pause waits before a write is retried; it returns false if ctx ended first.
	Pause func(ctx context.Context, wait time.Duration) bool
}

// NewClient returns a client; newID must never return the same write ID twice.
func NewClient(driver Driver, budget *Budget, now func() time.Time, newID func() string) *Client {
	return &Client{driver: driver, budget: budget, now: now, newID: newID, Pause: pause.For}
}

// Budget returns the client's call budget.
func (c *Client) Budget() *Budget { return c.budget }

// Get returns the entry of a key; its version is zero if the key does not exist.
func (c *Client) Get(ctx context.Context, class Class, key string) (Entry, error) {
	if err := c.takeBudget(class); err != nil {
		return Entry{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := c.driver.Get(callCtx, key)
	if err != nil {
		return Entry{}, err
	}
	return decode(value)
}

// Watch returns the entries below the prefix that changed after the version, and the version to resume after.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Entry, int64, error) {
	if err := c.takeBudget(Jobs); err != nil {
		return nil, after, err
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := c.driver.Watch(callCtx, prefix, after, wait)
	if err != nil {
		return nil, after, err
	}
	entries := make([]Entry, 0, len(changes.Values))
	for _, value := range changes.Values {
		entry, err := decode(value)
		if err != nil {
			return nil, after, err
		}
		entries = append(entries, entry)
	}
	return entries, changes.Upto, nil
}

// Swap replaces the entry's data if the key still has the entry's version; otherwise it returns a ConflictError.
//
// After a lost response the write is repeated with the same version. On a conflict it then reads back: the write has taken
// effect if its ID is found, and has not if the IDs of all writes since the entry are known and do not include it. Otherwise,
// or if ctx ends first, it returns an UnknownError.
func (c *Client) Swap(ctx context.Context, class Class, old Entry, data any, lease int64) (Entry, error) {
	raw, err := json.Marshal(data)
	if err != nil {
		return Entry{}, fmt.Errorf("store: encode %s: %w", old.Key, err)
	}
	id := c.newID()
	writeIDs := append(slices.Clone(old.writeIDs), id)
	if len(writeIDs) > maxWriteIDs {
		writeIDs = writeIDs[len(writeIDs)-maxWriteIDs:]
	}
	body, err := json.Marshal(envelope{Version: envelopeVersion, WriteIDs: writeIDs, Data: raw})
	if err != nil {
		return Entry{}, fmt.Errorf("store: encode %s: %w", old.Key, err)
	}
	next := Entry{Key: old.Key, Data: raw, writeIDs: writeIDs}
	return c.writeUntilResolved(ctx, class, old, next, body, lease)
}

// writeUntilResolved repeats the write until it is known whether it took effect, and returns next with its version, or the
// value that has replaced it.
func (c *Client) writeUntilResolved(ctx context.Context, class Class, old, next Entry, body []byte, lease int64) (Entry, error) {
	retry := backoff.NewExponentialBackOff(backoff.WithInitialInterval(resolveInitialInterval),
		backoff.WithMaxInterval(resolveMaxInterval), backoff.WithMaxElapsedTime(0), backoff.WithRandomizationFactor(0.9))
	mayHaveWritten := false
	for {
		version, err := c.attempt(ctx, class, old, body, lease)
		if err == nil {
			next.Version = version
			return next, nil
		}
		var lost *LostError
		var conflict *ConflictError
		switch {
		case errors.As(err, &lost):
			mayHaveWritten = true
		case errors.As(err, &conflict) && !mayHaveWritten:
			return Entry{}, err
		case errors.As(err, &conflict):
			if written, resolved, readErr := c.readBack(ctx, class, old, next); resolved {
				return written, readErr
			}
		case !mayHaveWritten:
			return Entry{}, err
		}
		if !c.Pause(ctx, retry.NextBackOff()) {
			return Entry{}, &UnknownError{Key: old.Key, Cause: err}
		}
	}
}

func (c *Client) attempt(ctx context.Context, class Class, old Entry, body []byte, lease int64) (int64, error) {
	if err := c.takeBudget(class); err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.driver.Swap(callCtx, old.Key, body, old.Version, lease)
}

// readBack looks for the ID of the write of next, its last one, after a conflict; resolved is false if the read failed.
func (c *Client) readBack(ctx context.Context, class Class, old, next Entry) (written Entry, resolved bool, err error) {
	current, err := c.Get(ctx, class, old.Key)
	if err != nil {
		return Entry{}, false, err
	}
	id := next.writeIDs[len(next.writeIDs)-1]
	at := slices.Index(current.writeIDs, id)
	switch {
	case at >= 0:
		current.Superseded = at < len(current.writeIDs)-1
		return current, true, nil
	case current.hasEarlierWrites(old):
		return Entry{}, true, &ConflictError{Key: old.Key, Current: current.Version}
	default:
		return Entry{}, true, &UnknownError{Key: old.Key, Cause: &ForgottenWriteError{}}
	}
}

// ForgottenWriteError means that the value has been written too often since to tell whether one of the writes was this one.
type ForgottenWriteError struct{}

// Error includes the number of write IDs that are kept.
func (*ForgottenWriteError) Error() string {
	return fmt.Sprintf("only the last %d writes of a value are known", maxWriteIDs)
}

// Grant creates a lease and returns its ID.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := c.takeBudget(Leases); err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.driver.Grant(callCtx, ttl)
}

// Renew extends a lease, or returns a LapsedError if it no longer exists.
func (c *Client) Renew(ctx context.Context, lease int64) error {
	if err := c.takeBudget(Leases); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.driver.Renew(callCtx, lease)
}

// Revoke ends a lease at once; the call does not count against the budget.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.driver.Revoke(callCtx, lease)
}

func (c *Client) takeBudget(class Class) error {
	if wait, ok := c.budget.Take(class, c.now()); !ok {
		return &BudgetError{Class: class, Wait: wait}
	}
	return nil
}

func decode(value Value) (Entry, error) {
	entry := Entry{Key: value.Key, Version: value.Version}
	if len(value.Data) == 0 {
		return entry, nil
	}
	var env envelope
	if err := json.Unmarshal(value.Data, &env); err != nil {
		return entry, &RecordError{Key: value.Key, Problem: err.Error()}
	}
	if env.Version != envelopeVersion {
		return entry, &RecordError{Key: value.Key, Problem: fmt.Sprintf("layout version %d is not known here; this release knows %d", env.Version, envelopeVersion)}
	}
	entry.Data, entry.writeIDs = env.Data, env.WriteIDs
	return entry, nil
}

// RecordError means that a stored value can't be decoded; the value is left unchanged.
type RecordError struct {
	Key     string
	Problem string
}

// Error names the key and the problem.
func (e *RecordError) Error() string { return fmt.Sprintf("store: value of %s: %s", e.Key, e.Problem) }
