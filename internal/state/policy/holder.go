package policy

import (
	"context"
	"sync"
	"time"
)

// Holder keeps the newest snapshot and the time at which it was last confirmed to be the newest.
type Holder struct {
	mu          sync.Mutex
	source      Source
	now         func() time.Time
	snapshot    Snapshot
	confirmedAt time.Time
	// lastReadAt is when the last successful read returned, lastReadDuration how long it took.
	lastReadAt       time.Time
	lastReadDuration time.Duration
	// failing is true if the last read failed.
	failing      bool
	onNewVersion func(Snapshot)
}

// NewHolder returns a holder without a policy; onNewVersion is called, without a lock held, for each newer version.
func NewHolder(source Source, now func() time.Time, onNewVersion func(Snapshot)) *Holder {
	return &Holder{source: source, now: now, onNewVersion: onNewVersion}
}

// Refresh reads the source once.
//
// It never replaces the active policy by an older version, and ignores a read that began before that of the active snapshot.
func (h *Holder) Refresh(ctx context.Context) error {
	sentAt := h.now()
	snapshot, err := h.source.Read(ctx)
	h.mu.Lock()
	h.failing = err != nil
	if err != nil {
		h.mu.Unlock()
		return err
	}
	h.lastReadAt = h.now()
	h.lastReadDuration = h.lastReadAt.Sub(sentAt)
	if sentAt.Before(h.confirmedAt) {
		h.mu.Unlock()
		return nil
	}
	newer := snapshot.Policy != nil && (h.snapshot.Policy == nil || snapshot.Policy.Version > h.snapshot.Policy.Version)
	if !newer {
		snapshot.Policy = h.snapshot.Policy
	}
	h.snapshot, h.confirmedAt = snapshot, sentAt
	h.mu.Unlock()
	if newer {
		h.onNewVersion(snapshot)
	}
	return nil
}

// Current returns the active snapshot and the time at which it was last confirmed to be the newest.
func (h *Holder) Current() (snapshot Snapshot, confirmedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot, h.confirmedAt
}

// LastRead returns when the last successful read returned and how long it took.
func (h *Holder) LastRead() (readAt time.Time, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastReadAt, h.lastReadDuration
}

// Failing reports whether the last read of the source failed; a peer that reaches the store can then serve a call better.
func (h *Holder) Failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing
}
