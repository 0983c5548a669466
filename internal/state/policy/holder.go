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
	// lastReadAt is when the last successful read or ping returned, lastReadDuration how long it took, contactAt when it was sent.
	lastReadAt       time.Time
	lastReadDuration time.Duration
	contactAt        time.Time
	// failing is true if the last read failed, or a ping since.
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
	h.answered(sentAt)
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

// Ping makes a cheaper call to the source's store than a read, to learn whether it responds. It confirms no policy, and only a read ends
// what a failed ping or read has begun.
func (h *Holder) Ping(ctx context.Context, ping func(context.Context) error) error {
	sentAt := h.now()
	err := ping(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failing = true
		return err
	}
	h.answered(sentAt)
	return nil
}

// answered records a response to a call that was sent at sentAt. The caller holds h.mu.
func (h *Holder) answered(sentAt time.Time) {
	h.lastReadAt = h.now()
	h.lastReadDuration = h.lastReadAt.Sub(sentAt)
	if sentAt.After(h.contactAt) {
		h.contactAt = sentAt
	}
}

// ContactAt returns when the last call was sent to which the store has responded.
func (h *Holder) ContactAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contactAt
}

// Current returns the active snapshot and the time at which it was last confirmed to be the newest.
func (h *Holder) Current() (snapshot Snapshot, confirmedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot, h.confirmedAt
}

// LastRead returns when the last successful read or ping returned and how long it took.
func (h *Holder) LastRead() (readAt time.Time, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastReadAt, h.lastReadDuration
}

// Failing reports whether the last read of the source failed, or a ping since; a peer that reaches the store can then serve a call better.
func (h *Holder) Failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing
}
