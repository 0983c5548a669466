package fake

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
)

// Fault selects the faults that a KV injects; the zero value injects none.
type Fault struct {
	// Down makes every call fail with a store.UnavailableError.
	Down bool
	// LoseResponses is the number of coming writes that take effect but return a store.LostError.
	LoseResponses int
	// Delay is added to every call.
	Delay time.Duration
}

// kvLease is a lease and the keys that are deleted when it ends.
type kvLease struct {
	ttl     time.Duration
	expires time.Time
	keys    []string
}

// KV is an in-memory key-value store that implements store.Driver.
type KV struct {
	mu      sync.Mutex
	now     func() time.Time
	values  map[string]store.Value
	leases  map[int64]*kvLease
	version int64
	fault   Fault
	changed chan struct{}
	calls   map[string]int
}

// NewKV returns an empty store whose leases expire by the given clock.
func NewKV(now func() time.Time) *KV {
	return &KV{now: now, values: make(map[string]store.Value), leases: make(map[int64]*kvLease), changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFault replaces the injected faults; it also wakes all watches, so that they fail if the store is now down.
func (k *KV) SetFault(fault Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = fault
	k.notifyChange()
}

// Calls returns the number of calls of the kind, which is a method name in lower case.
func (k *KV) Calls(kind string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[kind]
}

func (k *KV) notifyChange() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// beginCall counts the call, applies the injected fault and expires leases. The lock is held if it returns nil.
func (k *KV) beginCall(ctx context.Context, kind string) error {
	k.mu.Lock()
	delay := k.fault.Delay
	k.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return &store.LostError{Cause: "slow"}
		case <-time.After(delay):
		}
	}
	k.mu.Lock()
	k.calls[kind]++
	if k.fault.Down {
		k.mu.Unlock()
		return &store.UnavailableError{Cause: "the fake store is down"}
	}
	k.expireLeases()
	return nil
}

func (k *KV) expireLeases() {
	now := k.now()
	for id, lease := range k.leases {
		if now.Before(lease.expires) {
			continue
		}
		k.removeLease(id, lease)
	}
}

func (k *KV) removeLease(id int64, lease *kvLease) {
	for _, key := range lease.keys {
		k.version++
		k.values[key] = store.Value{Key: key, Version: k.version}
	}
	delete(k.leases, id)
	k.notifyChange()
}

// Get returns the current value of a key; a missing key has version 0 and no data.
func (k *KV) Get(ctx context.Context, key string) (store.Value, error) {
	if err := k.beginCall(ctx, "get"); err != nil {
		return store.Value{}, err
	}
	defer k.mu.Unlock()
	return k.currentValue(key), nil
}

func (k *KV) currentValue(key string) store.Value {
	value, ok := k.values[key]
	if !ok || value.Data == nil {
		return store.Value{Key: key}
	}
	return value
}

// Swap writes the key if its current version is the given one, and returns the new version.
func (k *KV) Swap(ctx context.Context, key string, data []byte, version, lease int64) (int64, error) {
	if err := k.beginCall(ctx, "swap"); err != nil {
		return 0, err
	}
	defer k.mu.Unlock()
	if have := k.currentValue(key).Version; have != version {
		return 0, &store.ConflictError{Key: key, Current: have}
	}
	if lease != 0 {
		held := k.leases[lease]
		if held == nil {
			return 0, &store.LapsedError{Lease: lease}
		}
		held.keys = append(held.keys, key)
	}
	k.version++
	k.values[key] = store.Value{Key: key, Data: append([]byte{}, data...), Version: k.version}
	k.notifyChange()
	if k.fault.LoseResponses > 0 {
		k.fault.LoseResponses--
		return 0, &store.LostError{Cause: "the fake store loses the response"}
	}
	return k.version, nil
}

// Watch returns the keys below the prefix that changed after the version; if there are none, it waits for a change, at
// most for the given time.
func (k *KV) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	if err := k.beginCall(ctx, "watch"); err != nil {
		return store.Changes{}, err
	}
	for {
		changes := k.changesSince(prefix, after)
		changed := k.changed
		k.mu.Unlock()
		if len(changes.Values) > 0 {
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return store.Changes{}, &store.LostError{Cause: "watch ended"}
		case <-limit.C:
			return changes, nil
		case <-changed:
		}
		k.mu.Lock()
		if k.fault.Down {
			k.mu.Unlock()
			return store.Changes{}, &store.UnavailableError{Cause: "the fake store went down"}
		}
		k.expireLeases()
	}
}

func (k *KV) changesSince(prefix string, after int64) store.Changes {
	changes := store.Changes{Upto: max(after, k.version)}
	for key, value := range k.values {
		if strings.HasPrefix(key, prefix) && value.Version > after {
			changes.Values = append(changes.Values, value)
		}
	}
	return changes
}

// Grant creates a lease and returns its ID.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := k.beginCall(ctx, "grant"); err != nil {
		return 0, err
	}
	defer k.mu.Unlock()
	k.version++
	k.leases[k.version] = &kvLease{ttl: ttl, expires: k.now().Add(ttl)}
	return k.version, nil
}

// Renew extends a lease by its time to live from now; it returns a store.LapsedError if the lease has ended.
func (k *KV) Renew(ctx context.Context, lease int64) error {
	if err := k.beginCall(ctx, "renew"); err != nil {
		return err
	}
	defer k.mu.Unlock()
	held := k.leases[lease]
	if held == nil {
		return &store.LapsedError{Lease: lease}
	}
	held.expires = k.now().Add(held.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys; an unknown lease is ignored.
func (k *KV) Revoke(ctx context.Context, lease int64) error {
	if err := k.beginCall(ctx, "revoke"); err != nil {
		return err
	}
	defer k.mu.Unlock()
	if held := k.leases[lease]; held != nil {
		k.removeLease(lease, held)
	}
	return nil
}
