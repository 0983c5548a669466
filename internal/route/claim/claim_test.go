package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/claim"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

var ctx = context.Background()

func fixedNow() time.Time { return time.Unix(1000, 0) }

var ids atomic.Int64

func newClaims(t *testing.T, kv store.Driver, name string) *claim.Claims {
	t.Helper()
	client := store.NewClient(kv, store.NewBudget(1e6, 1e6), fixedNow, func() string { return fmt.Sprint(name, ids.Add(1)) })
	client.Pause = func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil }
	c := claim.New(client, name, fixedNow, func(int) {})
	t.Cleanup(c.Close)
	return c
}

func TestOnlyOneInstanceGetsAClaim(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("race", func(t *testing.T) {
		kv := fake.NewKV(fixedNow)
		kv.SetFault(fake.Fault{LoseResponses: 20})
		var wg sync.WaitGroup
		taken := make([]atomic.Int64, 40)
		for n := range 8 {
			c := newClaims(t, kv, fmt.Sprint("i", n))
			wg.Add(1)
			go func() {
				defer wg.Done()
				for k := range taken {
					_, ok, err := c.Acquire(ctx, fmt.Sprint("order-", k), fixedNow())
					assert.Check(t, err == nil)
					if ok {
						taken[k].Add(1)
					}
				}
			}()
		}
		wg.Wait()
		for k := range taken {
			assert.Equal(t, taken[k].Load(), int64(1), "order-%d", k)
		}
	})
}

// lostResponseDriver calls onLost after each write whose response is lost.
type lostResponseDriver struct {
	store.Driver
	onLost func()
}

func (d *lostResponseDriver) Swap(ctx context.Context, key string, data []byte, version, lease int64) (int64, error) {
	written, err := d.Driver.Swap(ctx, key, data, version, lease)
	var lost *store.LostError
	if errors.As(err, &lost) {
		d.onLost()
	}
	return written, err
}

// One instance's claim takes effect but its response is lost, and another instance claims more keys of the same shard before
// the first one has found out. The first must then see these claims, and not take its own older copy for the latest.
func TestClaimsMadeDuringALostResponseAreSeen(t *testing.T) {
	kv := fake.NewKV(fixedNow)
	keys := make([]string, 40)
	for k := range keys {
		keys[k] = fmt.Sprint("order-", k)
	}
	other := newClaims(t, kv, "b")
	c := newClaims(t, &lostResponseDriver{Driver: kv, onLost: func() {
		for _, key := range keys[1:] {
			_, ok, err := other.Acquire(ctx, key, fixedNow())
			assert.NilError(t, err)
			assert.Equal(t, ok, true, key)
		}
	}}, "a")
	kv.SetFault(fake.Fault{LoseResponses: 1})
	_, ok, err := c.Acquire(ctx, keys[0], fixedNow())
	assert.NilError(t, err)
	assert.Equal(t, ok, true)
	for _, key := range keys[1:] {
		_, ok, err := c.Acquire(ctx, key, fixedNow())
		assert.NilError(t, err)
		assert.Equal(t, ok, false, key)
	}
}

func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	kv := fake.NewKV(fixedNow)
	a, b := newClaims(t, kv, "a"), newClaims(t, kv, "b")
	_, ok, err := a.Acquire(ctx, "k", fixedNow())
	assert.NilError(t, err)
	assert.Equal(t, ok, true)
	earlier, ok, err := b.Acquire(ctx, "k", fixedNow())
	assert.NilError(t, err)
	assert.Equal(t, ok, false)
	assert.Equal(t, earlier.State, claim.Claimed)
	assert.NilError(t, a.Finish(ctx, "k", 200, "text/plain", []byte("42 trees")))
	for _, other := range []*claim.Claims{b, newClaims(t, kv, "c")} {
		earlier, _, err = other.Acquire(ctx, "k", fixedNow())
		assert.NilError(t, err)
		assert.Equal(t, string(earlier.Body), "42 trees")
	}
}

func TestReleasedClaimCanBeAcquiredAgain(t *testing.T) {
	kv := fake.NewKV(fixedNow)
	a, b := newClaims(t, kv, "a"), newClaims(t, kv, "b")
	_, _, err := a.Acquire(ctx, "k", fixedNow())
	assert.NilError(t, err)
	assert.NilError(t, a.Release(ctx, "k"))
	_, ok, err := b.Acquire(ctx, "k", fixedNow())
	assert.NilError(t, err)
	assert.Equal(t, ok, true)
}
