package policy

import (
	"context"
	"sync"
	"time"
)

// Holder keeps the newest snapshot and when it was proved to be the newest.
type Holder struct {
	mu       sync.Mutex
	source   Source
	now      func() time.Time
	snapshot Snapshot
	proved   time.Time
	// answered is when the source last answered, took how long that took.
	answered time.Time
	took     time.Duration
	// failing is true from a read that failed until one that succeeds.
	failing bool
	changed func(Snapshot)
}

// NewHolder returns a holder without a policy; changed is called for each new version.
func NewHolder(source Source, now func() time.Time, changed func(Snapshot)) *Holder {
	return &Holder{source: source, now: now, changed: changed}
}

// Refresh reads the source once; an older version than the one in force is never applied.
func (h *Holder) Refresh(ctx context.Context) error {
	sent := h.now()
	snapshot, err := h.source.Read(ctx)
	h.mu.Lock()
	h.failing = err != nil
	if err != nil {
		h.mu.Unlock()
		return err
	}
	h.answered = h.now()
	h.took = h.answered.Sub(sent)
	if sent.Before(h.proved) {
		h.mu.Unlock()
		return nil
	}
	fresh := snapshot.Policy != nil && (h.snapshot.Policy == nil || snapshot.Policy.Version > h.snapshot.Policy.Version)
	if !fresh {
		snapshot.Policy = h.snapshot.Policy
	}
	h.snapshot, h.proved = snapshot, sent
	h.mu.Unlock()
	if fresh {
		h.changed(snapshot)
	}
	return nil
}

// Current returns the snapshot in force and the moment at which it was certainly the newest.
func (h *Holder) Current() (snapshot Snapshot, proved time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot, h.proved
}

// Answered returns when the source last answered and how long that took.
func (h *Holder) Answered() (at time.Time, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered, h.took
}

// Failing reports whether the last read of the source failed, so that others may be better placed to answer.
func (h *Holder) Failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing
}
