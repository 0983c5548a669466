package store

import (
	"context"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/plug"
)

// Value is what a key holds; Version is zero for a key that does not exist.
type Value struct {
	Key     string `json:"key"`
	Data    []byte `json:"data"`
	Version int64  `json:"version"`
}

// Driver speaks the protocol of one kind of key-value service.
//
// Versions grow over all keys and never repeat, not even after a key is deleted.
type Driver interface {
	// Get reads one key; a missing key is no error.
	Get(ctx context.Context, key string) (Value, error)
	// Swap writes the key if it still has the version, under the lease if one is given; else it returns a ConflictError.
	Swap(ctx context.Context, key string, data []byte, version int64, lease int64) (int64, error)
	// Watch returns the keys below the prefix that changed after the version, waiting at most as long as it is told.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Grant makes a lease; its keys vanish when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew prolongs a lease, or returns a LapsedError.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, lease int64) error
}

// Changes is what a watch saw; Upto is the version to resume after.
type Changes struct {
	Values []Value `json:"values"`
	Upto   int64   `json:"upto"`
}

// Opener makes a driver for an endpoint.
type Opener func(endpoint string) Driver

// Drivers are the registered protocols.
var Drivers = plug.New[Opener]("store driver")

// ConflictError says that the key has another version than expected; nothing was written.
type ConflictError struct {
	Key     string
	Current int64
}

// Error names the key and its version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s was changed meanwhile (version %d)", e.Key, e.Current)
}

// LapsedError says that the lease does not exist any more.
type LapsedError struct{ Lease int64 }

// Error names the lease.
func (e *LapsedError) Error() string { return fmt.Sprintf("store: lease %d has lapsed", e.Lease) }

// UnavailableError says that the call certainly had no effect.
type UnavailableError struct{ Cause string }

// Error gives the cause.
func (e *UnavailableError) Error() string { return "store: unavailable: " + e.Cause }

// LostError says that no answer came, so the call may have taken effect.
type LostError struct{ Cause string }

// Error gives the cause.
func (e *LostError) Error() string { return "store: answer lost: " + e.Cause }

// UnknownError says that a write may or may not have taken effect, and that reading back did not settle it in time.
type UnknownError struct {
	Key   string
	Cause error
}

// Error names the key and the last failure.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store: write to %s may or may not have taken effect: %v", e.Key, e.Cause)
}

// Unwrap returns the last failure.
func (e *UnknownError) Unwrap() error { return e.Cause }
