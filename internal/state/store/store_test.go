package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/kvhttp"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

var ctx = context.Background()

// manualClock is a clock that only tests advance.
type manualClock struct{ at time.Time }

func (c *manualClock) now() time.Time { return c.at }

// forEachDriver runs a test against the in-memory store directly and through the HTTP protocol.
func forEachDriver(t *testing.T, test func(t *testing.T, clock *manualClock, kv *fake.KV, driver store.Driver)) {
	t.Run("memory", func(t *testing.T) {
		clock := &manualClock{at: time.Unix(1000, 0)}
		kv := fake.NewKV(clock.now)
		test(t, clock, kv, kv)
	})
	t.Run(kvhttp.Name, func(t *testing.T) {
		clock := &manualClock{at: time.Unix(1000, 0)}
		kv := fake.NewKV(clock.now)
		server, err := fake.ServePlatform("127.0.0.1:0", kv, fake.NewList())
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, server.Close()) })
		open, err := store.Drivers.Lookup(kvhttp.Name)
		assert.NilError(t, err)
		test(t, clock, kv, open(server.URL()))
	})
}

func TestDriverContract(t *testing.T) {
	forEachDriver(t, func(t *testing.T, clock *manualClock, kv *fake.KV, d store.Driver) {
		missing, err := d.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, missing.Version, int64(0))
		first, err := d.Swap(ctx, "k", []byte("a"), 0, 0)
		assert.NilError(t, err)
		_, err = d.Swap(ctx, "k", []byte("b"), 0, 0)
		var conflict *store.ConflictError
		assert.Equal(t, errors.As(err, &conflict), true)
		assert.Equal(t, conflict.Current, first)
		changes, err := d.Watch(ctx, "k", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(changes.Values), 1)
		quiet, err := d.Watch(ctx, "k", changes.Upto, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(quiet.Values), 0)

		lease, err := d.Grant(ctx, time.Second)
		assert.NilError(t, err)
		held, err := d.Swap(ctx, "leased", []byte("x"), 0, lease)
		assert.NilError(t, err)
		clock.at = clock.at.Add(900 * time.Millisecond)
		assert.NilError(t, d.Renew(ctx, lease))
		clock.at = clock.at.Add(1100 * time.Millisecond)
		var lapsed *store.LapsedError
		assert.Equal(t, errors.As(d.Renew(ctx, lease), &lapsed), true)
		gone, err := d.Get(ctx, "leased")
		assert.NilError(t, err)
		assert.Equal(t, gone.Version, int64(0))
		again, err := d.Swap(ctx, "leased", []byte("y"), 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, again > held, true, "versions must increase across deletions")

		kv.SetFault(fake.Fault{Down: true})
		_, err = d.Get(ctx, "k")
		var down *store.UnavailableError
		assert.Equal(t, errors.As(err, &down), true)
		kv.SetFault(fake.Fault{LoseResponses: 1})
		_, err = d.Swap(ctx, "k", []byte("c"), first, 0)
		var lost *store.LostError
		assert.Equal(t, errors.As(err, &lost), true)
		effect, err := d.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, string(effect.Data), "c")
	})
}

func newClient(d store.Driver, name string, clock *manualClock) *store.Client {
	n := 0
	c := store.NewClient(d, store.NewBudget(1e6, 1e6), clock.now, func() string {
		n++
		return fmt.Sprint(name, n)
	})
	c.Pause = func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil }
	return c
}

func TestLostResponseIsResolved(t *testing.T) {
	forEachDriver(t, func(t *testing.T, clock *manualClock, kv *fake.KV, d store.Driver) {
		c := newClient(d, "a", clock)
		entry, err := c.Get(ctx, store.Jobs, "k")
		assert.NilError(t, err)
		kv.SetFault(fake.Fault{LoseResponses: 1})
		written, err := c.Swap(ctx, store.Jobs, entry, 1, 0)
		assert.NilError(t, err)
		kv.SetFault(fake.Fault{LoseResponses: 3})
		written, err = c.Swap(ctx, store.Jobs, written, 2, 0)
		assert.NilError(t, err)
		read, err := c.Get(ctx, store.Jobs, "k")
		assert.NilError(t, err)
		assert.Equal(t, read.Version, written.Version)
	})
}

// interferingDriver calls onLostResponse after each write whose response is lost.
type interferingDriver struct {
	store.Driver
	onLostResponse func()
}

func (d *interferingDriver) Swap(ctx context.Context, key string, data []byte, version, lease int64) (int64, error) {
	got, err := d.Driver.Swap(ctx, key, data, version, lease)
	var lost *store.LostError
	if errors.As(err, &lost) && d.onLostResponse != nil {
		d.onLostResponse()
	}
	return got, err
}

func TestLostAnswerIsSettledThoughOthersWroteSince(t *testing.T) {
	clock := &manualClock{at: time.Unix(1000, 0)}
	kv := fake.NewKV(clock.now)
	other := newClient(kv, "b", clock)
	c := newClient(&interferingDriver{Driver: kv, onLostResponse: func() {
		entry, err := other.Get(ctx, store.Jobs, "k")
		assert.NilError(t, err)
		_, err = other.Swap(ctx, store.Jobs, entry, 2, 0)
		assert.NilError(t, err)
	}}, "a", clock)
	entry, err := c.Get(ctx, store.Jobs, "k")
	assert.NilError(t, err)
	kv.SetFault(fake.Fault{LoseResponses: 1})
	_, err = c.Swap(ctx, store.Jobs, entry, 1, 0)
	assert.NilError(t, err, "the write took effect before that of the other client")
}

// A client whose write is confirmed only after a later one must not use its own data with the later version: its next write
// would then undo the other client's.
func TestSupersededWriteReturnsTheLaterValue(t *testing.T) {
	c := clientAndOthersWrites(t, 1)
	written, err := c.Swap(ctx, store.Jobs, store.Entry{Key: "k"}, 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, written.Superseded, true)
	assert.Equal(t, string(written.Data), "100")
}

// A value keeps the IDs of its last writes only; a write that took effect before them must not be reported as a conflict.
func TestWriteFollowedByManyOthersIsUnknown(t *testing.T) {
	for name, writes := range map[string]int{"exactly as many as are kept": 16, "more": 40} {
		t.Run(name, func(t *testing.T) {
			c := clientAndOthersWrites(t, writes)
			_, err := c.Swap(ctx, store.Jobs, store.Entry{Key: "k"}, 1, 0)
			var unknown *store.UnknownError
			assert.Equal(t, errors.As(err, &unknown), true, "%v", err)
		})
	}
}

// A write that never arrived is a conflict for certain as long as the write before it is still known.
func TestWriteThatNeverArrivedIsAConflict(t *testing.T) {
	clock := &manualClock{at: time.Unix(1000, 0)}
	kv := fake.NewKV(clock.now)
	other := newClient(kv, "b", clock)
	first, err := other.Swap(ctx, store.Jobs, store.Entry{Key: "k"}, 0, 0)
	assert.NilError(t, err)
	c := newClient(&lostRequestDriver{Driver: kv, onLost: func() { writeMany(t, other, 3) }}, "a", clock)
	_, err = c.Swap(ctx, store.Jobs, first, 1, 0)
	var conflict *store.ConflictError
	assert.Equal(t, errors.As(err, &conflict), true, "%v", err)
}

// lostRequestDriver loses the first request to write, and calls onLost.
type lostRequestDriver struct {
	store.Driver
	onLost func()
	lost   bool
}

func (d *lostRequestDriver) Swap(ctx context.Context, key string, data []byte, version, lease int64) (int64, error) {
	if !d.lost {
		d.lost = true
		d.onLost()
		return 0, &store.LostError{Cause: "the request is lost"}
	}
	return d.Driver.Swap(ctx, key, data, version, lease)
}

// clientAndOthersWrites returns a client whose first write takes effect, loses its response and is followed by the given
// number of writes of another client.
func clientAndOthersWrites(t *testing.T, writes int) *store.Client {
	t.Helper()
	clock := &manualClock{at: time.Unix(1000, 0)}
	kv := fake.NewKV(clock.now)
	other := newClient(kv, "b", clock)
	kv.SetFault(fake.Fault{LoseResponses: 1})
	return newClient(&interferingDriver{Driver: kv, onLostResponse: func() { writeMany(t, other, writes) }}, "a", clock)
}

func writeMany(t *testing.T, c *store.Client, writes int) {
	t.Helper()
	for i := range writes {
		entry, err := c.Get(ctx, store.Jobs, "k")
		assert.NilError(t, err)
		_, err = c.Swap(ctx, store.Jobs, entry, 100+i, 0)
		assert.NilError(t, err)
	}
}

func TestOutageAfterALostAnswerIsUnknown(t *testing.T) {
	clock := &manualClock{at: time.Unix(1000, 0)}
	kv := fake.NewKV(clock.now)
	c := newClient(&interferingDriver{Driver: kv, onLostResponse: func() { kv.SetFault(fake.Fault{Down: true}) }}, "a", clock)
	entry, err := c.Get(ctx, store.Jobs, "k")
	assert.NilError(t, err)
	kv.SetFault(fake.Fault{LoseResponses: 1})
	tries := 0
	c.Pause = func(context.Context, time.Duration) bool { tries++; return tries < 5 }
	_, err = c.Swap(ctx, store.Jobs, entry, 1, 0)
	var unknown *store.UnknownError
	assert.Equal(t, errors.As(err, &unknown), true, "%v", err)
}

func TestWriteDuringOutageHasNoEffect(t *testing.T) {
	clock := &manualClock{at: time.Unix(1000, 0)}
	kv := fake.NewKV(clock.now)
	c := newClient(kv, "a", clock)
	kv.SetFault(fake.Fault{Down: true})
	_, err := c.Swap(ctx, store.Jobs, store.Entry{Key: "k"}, 1, 0)
	var down *store.UnavailableError
	assert.Equal(t, errors.As(err, &down), true)
}

func TestUnknownEnvelopeVersionIsRefused(t *testing.T) {
	clock := &manualClock{at: time.Unix(1000, 0)}
	kv := fake.NewKV(clock.now)
	raw, err := json.Marshal(map[string]any{"version": 99, "data": 1})
	assert.NilError(t, err)
	_, err = kv.Swap(ctx, "k", raw, 0, 0)
	assert.NilError(t, err)
	_, err = newClient(kv, "a", clock).Get(ctx, store.Jobs, "k")
	var bad *store.RecordError
	assert.Equal(t, errors.As(err, &bad), true)
}

func TestBudgetReservesCallsForHigherClasses(t *testing.T) {
	b := store.NewBudget(10, 20)
	now := time.Unix(1000, 0)
	count := func(class store.Class) int {
		n := 0
		for {
			if _, ok := b.Take(class, now); !ok {
				return n
			}
			n++
		}
	}
	assert.Equal(t, count(store.Other), 10)
	assert.Equal(t, count(store.Jobs), 4)
	assert.Equal(t, count(store.Claims), 3)
	assert.Equal(t, count(store.Commands), 2)
	assert.Equal(t, count(store.Leases), 1)
	now = now.Add(500 * time.Millisecond)
	assert.Equal(t, count(store.Leases), 5)
}
