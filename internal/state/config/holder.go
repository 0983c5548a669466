package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Source -json -text -transform=title-lower

// Key is the document's key in the key-value store.
const Key = "deck/config"

// Source is where an instance got its revision from.
type Source int

// FromNowhere means that the instance has no revision yet.
const (
	FromNowhere Source = iota
	FromStore
	FromPeer
)

// ActiveConfig is the document that an instance uses, with its source and the time since when it is used.
type ActiveConfig struct {
	Document *Document
	Source   Source
	Since    time.Time
}

// Holder keeps the highest revision that an instance has seen.
type Holder struct {
	client *store.Client
	policy engine.Policy

	mu              sync.Mutex
	active          ActiveConfig
	confirmedAt     time.Time
	pendingCommands int
	// unresolvedAt is when the outcome of a command last became unknown; zero if there is no such command.
	unresolvedAt time.Time
}

// NewHolder returns a holder without a document.
func NewHolder(client *store.Client, policy engine.Policy) *Holder {
	return &Holder{client: client, policy: policy}
}

// Active returns the active configuration; its Document is nil before the first revision.
func (h *Holder) Active() ActiveConfig {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

// Offer activates a document if its revision is higher than any seen before, and reports whether it did.
func (h *Holder) Offer(doc *Document, source Source, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active.Document != nil && doc.Revision <= h.active.Document.Revision {
		return false
	}
	h.active = ActiveConfig{Document: doc, Source: source, Since: now}
	return true
}

// Confirm records that the key-value store had no higher revision at the given time.
func (h *Holder) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
	if !h.unresolvedAt.IsZero() && at.After(h.unresolvedAt.Add(resolvedAfter)) {
		h.unresolvedAt = time.Time{}
	}
}

// ConfirmedAt returns the last time at which the key-value store had no higher revision.
func (h *Holder) ConfirmedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmedAt
}

// CommandUnresolved reports whether this instance has a command whose outcome is still open or unknown.
func (h *Holder) CommandUnresolved() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pendingCommands > 0 || !h.unresolvedAt.IsZero()
}

func (h *Holder) addPending(change int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingCommands += change
}

func (h *Holder) setUnresolved(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unresolvedAt = at
}

// resolvedAfter is how long after a write with unknown outcome a read shows for certain whether it took effect.
const resolvedAfter = 10 * time.Second

// Edit changes a copy of the document in place; an error discards the change.
type Edit func(doc *Document) error

// Apply changes the document by compare-and-swap.
//
// If another command is accepted first, it returns a RaceError that names that command; changes are never merged.
func (h *Holder) Apply(ctx context.Context, by, command string, edit Edit, now time.Time) (*Document, error) {
	entry, err := h.client.Get(ctx, store.Commands, Key)
	if err != nil {
		return nil, err
	}
	var doc Document
	if len(entry.Data) > 0 {
		if err := json.Unmarshal(entry.Data, &doc); err != nil {
			return nil, &store.RecordError{Key: Key, Problem: err.Error()}
		}
	}
	if err := edit(&doc); err != nil {
		return nil, err
	}
	doc.Revision++
	doc.By, doc.Command, doc.At = by, command, now
	if err := doc.Validate(h.policy); err != nil {
		return nil, err
	}
	h.addPending(1)
	_, err = h.client.Swap(ctx, store.Commands, entry, &doc, 0)
	h.addPending(-1)
	var unknown *store.UnknownError
	if errors.As(err, &unknown) {
		h.setUnresolved(now)
	}
	if err != nil {
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return nil, h.raceError(ctx, command)
		}
		return nil, err
	}
	h.Offer(&doc, FromStore, now)
	return &doc, nil
}

// raceError reads the store for the command that was accepted first and returns a RaceError with it.
func (h *Holder) raceError(ctx context.Context, command string) error {
	entry, err := h.client.Get(ctx, store.Commands, Key)
	if err != nil {
		return &RaceError{Command: command}
	}
	var winner Document
	if err := json.Unmarshal(entry.Data, &winner); err != nil {
		return &RaceError{Command: command}
	}
	return &RaceError{Command: command, Winner: winner.Command, By: winner.By, Revision: winner.Revision}
}

// RaceError reports that another command was accepted first and that this one had no effect.
type RaceError struct {
	Command  string
	Winner   string
	By       string
	Revision int64
}

// Error names the winning command and its revision.
func (e *RaceError) Error() string {
	return fmt.Sprintf("%q had no effect: %q by %s was accepted first as revision %d; look at `config show` and repeat it if it is still wanted",
		e.Command, e.Winner, e.By, e.Revision)
}
