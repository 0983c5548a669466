package fake

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
)

// Fault is how the key-value service misbehaves.
type Fault struct {
	Down bool
	// LoseAnswers is how many coming writes take effect without an answer.
	LoseAnswers int
	Delay       time.Duration
}

// kvLease is a lease and the keys that vanish with it.
type kvLease struct {
	ttl     time.Duration
	expires time.Time
	keys    []string
}

// KV is a key-value service in memory; it is itself a store.Driver.
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

// NewKV returns an empty service.
func NewKV(now func() time.Time) *KV {
	return &KV{now: now, values: make(map[string]store.Value), leases: make(map[int64]*kvLease), changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFault changes how the service misbehaves.
func (k *KV) SetFault(fault Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = fault
	k.wake()
}

// Calls returns how many calls of the kind were made.
func (k *KV) Calls(kind string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[kind]
}

func (k *KV) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// enter counts the call, applies the fault and lets leases lapse; the lock is held when it returns nil.
func (k *KV) enter(ctx context.Context, kind string) error {
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
		return &store.UnavailableError{Cause: "stand-in is down"}
	}
	k.lapse()
	return nil
}

func (k *KV) lapse() {
	now := k.now()
	for id, lease := range k.leases {
		if now.Before(lease.expires) {
			continue
		}
		k.drop(id, lease)
	}
}

func (k *KV) drop(id int64, lease *kvLease) {
	for _, key := range lease.keys {
		k.version++
		k.values[key] = store.Value{Key: key, Version: k.version}
	}
	delete(k.leases, id)
	k.wake()
}

// Get reads one key.
func (k *KV) Get(ctx context.Context, key string) (store.Value, error) {
	if err := k.enter(ctx, "get"); err != nil {
		return store.Value{}, err
	}
	defer k.mu.Unlock()
	return k.current(key), nil
}

func (k *KV) current(key string) store.Value {
	value, ok := k.values[key]
	if !ok || value.Data == nil {
		return store.Value{Key: key}
	}
	return value
}

// Swap writes the key if it still has the version.
func (k *KV) Swap(ctx context.Context, key string, data []byte, version, lease int64) (int64, error) {
	if err := k.enter(ctx, "swap"); err != nil {
		return 0, err
	}
	defer k.mu.Unlock()
	if have := k.current(key).Version; have != version {
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
	k.wake()
	if k.fault.LoseAnswers > 0 {
		k.fault.LoseAnswers--
		return 0, &store.LostError{Cause: "stand-in loses the answer"}
	}
	return k.version, nil
}

// Watch returns the keys below the prefix that changed after the version.
func (k *KV) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	if err := k.enter(ctx, "watch"); err != nil {
		return store.Changes{}, err
	}
	for {
		changes := k.changes(prefix, after)
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
			return store.Changes{}, &store.UnavailableError{Cause: "stand-in went down"}
		}
		k.lapse()
	}
}

func (k *KV) changes(prefix string, after int64) store.Changes {
	changes := store.Changes{Upto: max(after, k.version)}
	for key, value := range k.values {
		if strings.HasPrefix(key, prefix) && value.Version > after {
			changes.Values = append(changes.Values, value)
		}
	}
	return changes
}

// Grant makes a lease.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := k.enter(ctx, "grant"); err != nil {
		return 0, err
	}
	defer k.mu.Unlock()
	k.version++
	k.leases[k.version] = &kvLease{ttl: ttl, expires: k.now().Add(ttl)}
	return k.version, nil
}

// Renew prolongs a lease.
func (k *KV) Renew(ctx context.Context, lease int64) error {
	if err := k.enter(ctx, "renew"); err != nil {
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

// Revoke ends a lease.
func (k *KV) Revoke(ctx context.Context, lease int64) error {
	if err := k.enter(ctx, "revoke"); err != nil {
		return err
	}
	defer k.mu.Unlock()
	if held := k.leases[lease]; held != nil {
		k.drop(lease, held)
	}
	return nil
}
