package store

import (
	"context"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/plug"
)

// Value is the stored value of a key; Version is zero for a key that does not exist.
type Value struct {
	Key     string `json:"key"`
	Data    []byte `json:"data"`
	Version int64  `json:"version"`
}

// Driver implements the protocol of one kind of key-value store.
//
// Versions increase across all keys and are never reused, not even after a key is deleted.
type Driver interface {
	// Get returns one key; a missing key is not an error.
	Get(ctx context.Context, key string) (Value, error)
	// Swap writes the key if it still has the version, else it returns a ConflictError; a nonzero lease is attached to the key.
	Swap(ctx context.Context, key string, data []byte, version int64, lease int64) (int64, error)
	// Watch returns the keys below the prefix that changed after the version; it waits at most wait for a change.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Grant creates a lease; the store deletes its keys when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew extends a lease, or returns a LapsedError if it no longer exists.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, lease int64) error
}

// Changes is the result of a watch; Upto is the version to resume after.
type Changes struct {
	Values []Value `json:"values"`
	Upto   int64   `json:"upto"`
}

// Opener creates a driver for an endpoint.
type Opener func(endpoint string) Driver

// Drivers is the registry of protocols by name.
var Drivers = plug.New[Opener]("store driver")

// ConflictError means that the key has another version than expected; nothing was written.
type ConflictError struct {
	Key     string
	Current int64
}

// Error names the key and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s was changed meanwhile (version %d)", e.Key, e.Current)
}

// LapsedError means that the lease no longer exists.
type LapsedError struct{ Lease int64 }

// Error names the lease.
func (e *LapsedError) Error() string { return fmt.Sprintf("store: lease %d has lapsed", e.Lease) }

// UnavailableError means that the call failed and certainly had no effect.
type UnavailableError struct{ Cause string }

// Error includes the cause.
func (e *UnavailableError) Error() string { return "store: unavailable: " + e.Cause }

// LostError means that the response was lost, so the call may have taken effect.
type LostError struct{ Cause string }

// Error includes the cause.
func (e *LostError) Error() string { return "store: answer lost: " + e.Cause }

// UnknownError means that a write may or may not have taken effect, and that this could not be resolved in time.
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
