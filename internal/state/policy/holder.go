package policy

import (
	"context"
	"sync"
	"time"
)

// Holder keeps the newest snapshot and when it was proved to be the newest.
type Holder struct {
	mu          sync.Mutex
	source      Source
	now         func() time.Time
	snapshot    Snapshot
	confirmedAt time.Time
	// answered is when the source last answered, took how long that took.
	lastReadAt       time.Time
	lastReadDuration time.Duration
	// failing is true from a read that failed until one that succeeds.
	failing      bool
	onNewVersion func(Snapshot)
}

// NewHolder returns a holder without a policy; changed is called for each new version.
func NewHolder(source Source, now func() time.Time, onNewVersion func(Snapshot)) *Holder {
	return &Holder{source: source, now: now, onNewVersion: onNewVersion}
}

// Refresh reads the source once; an older version than the one in force is never applied.
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

// Current returns the snapshot in force and the moment at which it was certainly the newest.
func (h *Holder) Current() (snapshot Snapshot, confirmedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot, h.confirmedAt
}

// Answered returns when the source last answered and how long that took.
func (h *Holder) Answered() (readAt time.Time, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastReadAt, h.lastReadDuration
}

// Failing reports whether the last read of the source failed, so that others may be better placed to answer.
func (h *Holder) Failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing
}
