package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// Prefix is the key prefix of the owners in the key-value store.
	Prefix = "owner/"
	// TTL is how long a lease is valid without renewal.
	TTL = 3 * time.Second
	// renewInterval is the time between renewals.
	renewInterval = TTL / 3
	// expiryMargin is how much earlier than in the key-value store the lease lapses for its holder.
	expiryMargin = 300 * time.Millisecond
)

// Owner is the stored value of a data centre's owner key.
type Owner struct {
	Instance string `json:"instance"`
}

// Holder acquires and renews the lease of one data centre for one instance.
type Holder struct {
	mu         sync.Mutex
	client     *store.Client
	key        string
	instance   string
	lease      int64
	epoch      int64
	validUntil time.Time
	renewAt    time.Time
	owner      string
	abandoned  bool
}

// NewHolder returns a holder without a lease.
func NewHolder(client *store.Client, centre, instance string) *Holder {
	return &Holder{client: client, key: Prefix + centre, instance: instance}
}

// Epoch returns the epoch; ok is false if the lease may have lapsed.
func (h *Holder) Epoch(now time.Time) (epoch int64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, h.epoch != 0 && now.Before(h.validUntil)
}

// LastEpoch returns the last epoch held, even if it has lapsed, or zero once another instance is known to hold the lease.
func (h *Holder) LastEpoch() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch
}

// Owner returns the name of the instance last seen as owner; it is empty if none was seen.
func (h *Holder) Owner() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owner
}

// Step renews the lease or tries to acquire it; it must be called several times per TTL. Calls must not overlap.
func (h *Holder) Step(ctx context.Context, now time.Time) error {
	h.mu.Lock()
	lease, due, abandoned := h.lease, !now.Before(h.renewAt), h.abandoned
	h.mu.Unlock()
	switch {
	case abandoned:
		return nil
	case lease != 0 && !due:
		return nil
	case lease != 0:
		return h.renew(ctx, lease, now)
	default:
		return h.acquire(ctx, now)
	}
}

func (h *Holder) renew(ctx context.Context, lease int64, now time.Time) error {
	if err := h.client.Renew(ctx, lease); err != nil {
		var lapsed *store.LapsedError
		if errors.As(err, &lapsed) {
			h.dropLease()
		}
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.validUntil = now.Add(TTL - expiryMargin)
	h.renewAt = now.Add(renewInterval)
	return nil
}

// acquire creates the key if it does not exist; the key's version is the new epoch.
func (h *Holder) acquire(ctx context.Context, now time.Time) error {
	entry, err := h.client.Get(ctx, store.Leases, h.key)
	if err != nil {
		return err
	}
	if entry.Version != 0 {
		return h.recordOwner(entry)
	}
	lease, err := h.client.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	written, err := h.client.Swap(ctx, store.Leases, entry, Owner{Instance: h.instance}, lease)
	if err != nil {
		return errors.Join(err, h.client.Revoke(ctx, lease))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease, h.epoch, h.owner = lease, written.Version, h.instance
	h.validUntil = now.Add(TTL - expiryMargin)
	h.renewAt = now.Add(renewInterval)
	return nil
}

// recordOwner records the owner found in the store; an epoch held here before is invalid from then on.
func (h *Holder) recordOwner(entry store.Entry) error {
	var owner Owner
	if err := json.Unmarshal(entry.Data, &owner); err != nil {
		return &store.RecordError{Key: entry.Key, Problem: err.Error()}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.owner, h.epoch = owner.Instance, 0
	return nil
}

// dropLease forgets a lease that has lapsed in the store; the epoch is kept, as workers may not have seen a higher one yet.
func (h *Holder) dropLease() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease, h.validUntil = 0, time.Time{}
}

// Abandon stops renewing without revoking the lease, as a crashed process does.
func (h *Holder) Abandon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.abandoned = true
	h.lease, h.epoch, h.validUntil = 0, 0, time.Time{}
}

// Release revokes the lease, so that another instance can acquire it at once.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	lease := h.lease
	h.lease, h.epoch, h.validUntil = 0, 0, time.Time{}
	h.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return h.client.Revoke(ctx, lease)
}
