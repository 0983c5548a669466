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
	// recordVersion is the layout of the envelope around each value.
	recordVersion = 1
	// writesKept is how many write IDs an envelope remembers.
	writesKept = 16
	// callTimeout bounds one call to the service.
	callTimeout = 1500 * time.Millisecond
	// settleInterval is the first wait between tries to settle a lost answer.
	settleInterval = 20 * time.Millisecond
	settleAtMost   = 500 * time.Millisecond
)

// record is the envelope around each value.
type record struct {
	Version int             `json:"version"`
	Writes  []string        `json:"writes"`
	Data    json.RawMessage `json:"data"`
}

// Entry is a decoded value with what is needed to replace it.
type Entry struct {
	Key     string
	Data    json.RawMessage
	Version int64
	writes  []string
}

// Client makes calls within the budget and settles lost answers.
type Client struct {
	driver Driver
	budget *Budget
	now    func() time.Time
	newID  func() string
	// Pause waits before a write is tried again; it reports false if ctx ended first.
	Pause func(ctx context.Context, wait time.Duration) bool
}

// NewClient returns a client; newID must never return the same write ID twice.
func NewClient(driver Driver, budget *Budget, now func() time.Time, newID func() string) *Client {
	return &Client{driver: driver, budget: budget, now: now, newID: newID, Pause: pause.For}
}

// Budget returns the client's call budget.
func (c *Client) Budget() *Budget { return c.budget }

// Get reads a key.
func (c *Client) Get(ctx context.Context, class Class, key string) (Entry, error) {
	if err := c.spend(class); err != nil {
		return Entry{}, err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := c.driver.Get(call, key)
	if err != nil {
		return Entry{}, err
	}
	return decode(value)
}

// Watch returns what changed below the prefix after the version.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Entry, int64, error) {
	if err := c.spend(Jobs); err != nil {
		return nil, after, err
	}
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := c.driver.Watch(call, prefix, after, wait)
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

// Swap replaces the entry's data if nobody else has meanwhile.
//
// A lost answer is settled: the write has taken effect if its ID is found, it has not if the version moved without it,
// and it is repeated with the same version otherwise. If ctx ends first the result is an UnknownError.
func (c *Client) Swap(ctx context.Context, class Class, old Entry, data any, lease int64) (Entry, error) {
	raw, err := json.Marshal(data)
	if err != nil {
		return Entry{}, fmt.Errorf("store: encode %s: %w", old.Key, err)
	}
	id := c.newID()
	writes := append(slices.Clone(old.writes), id)
	if len(writes) > writesKept {
		writes = writes[len(writes)-writesKept:]
	}
	body, err := json.Marshal(record{Version: recordVersion, Writes: writes, Data: raw})
	if err != nil {
		return Entry{}, fmt.Errorf("store: encode %s: %w", old.Key, err)
	}
	next := Entry{Key: old.Key, Data: raw, writes: writes}
	next.Version, err = c.settle(ctx, class, old, body, id, lease)
	return next, err
}

// settle repeats the write until its fate is known.
func (c *Client) settle(ctx context.Context, class Class, old Entry, body []byte, id string, lease int64) (int64, error) {
	retry := backoff.NewExponentialBackOff(backoff.WithInitialInterval(settleInterval),
		backoff.WithMaxInterval(settleAtMost), backoff.WithMaxElapsedTime(0), backoff.WithRandomizationFactor(0.9))
	maybe := false
	for {
		version, err := c.try(ctx, class, old, body, lease)
		if err == nil {
			return version, nil
		}
		var lost *LostError
		var conflict *ConflictError
		switch {
		case errors.As(err, &lost):
			maybe = true
		case errors.As(err, &conflict) && !maybe:
			return 0, err
		case errors.As(err, &conflict):
			if version, done, readErr := c.readBack(ctx, class, old.Key, id); done {
				return version, readErr
			}
		case !maybe:
			return 0, err
		}
		if !c.Pause(ctx, retry.NextBackOff()) {
			return 0, &UnknownError{Key: old.Key, Cause: err}
		}
	}
}

func (c *Client) try(ctx context.Context, class Class, old Entry, body []byte, lease int64) (int64, error) {
	if err := c.spend(class); err != nil {
		return 0, err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.driver.Swap(call, old.Key, body, old.Version, lease)
}

// readBack looks for the write ID after a conflict; done is false while the service does not answer.
func (c *Client) readBack(ctx context.Context, class Class, key, id string) (version int64, done bool, err error) {
	entry, err := c.Get(ctx, class, key)
	if err != nil {
		return 0, false, err
	}
	if slices.Contains(entry.writes, id) {
		return entry.Version, true, nil
	}
	return 0, true, &ConflictError{Key: key, Current: entry.Version}
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := c.spend(Leases); err != nil {
		return 0, err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.driver.Grant(call, ttl)
}

// Renew prolongs a lease.
func (c *Client) Renew(ctx context.Context, lease int64) error {
	if err := c.spend(Leases); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.driver.Renew(call, lease)
}

// Revoke ends a lease at once.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.driver.Revoke(call, lease)
}

func (c *Client) spend(class Class) error {
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
	var r record
	if err := json.Unmarshal(value.Data, &r); err != nil {
		return entry, &RecordError{Key: value.Key, Problem: err.Error()}
	}
	if r.Version != recordVersion {
		return entry, &RecordError{Key: value.Key, Problem: fmt.Sprintf("layout version %d is not known here; this release knows %d", r.Version, recordVersion)}
	}
	entry.Data, entry.writes = r.Data, r.Writes
	return entry, nil
}

// RecordError says that a stored value can't be understood; it is left as it is.
type RecordError struct {
	Key     string
	Problem string
}

// Error names the key and the problem.
func (e *RecordError) Error() string { return fmt.Sprintf("store: value of %s: %s", e.Key, e.Problem) }
