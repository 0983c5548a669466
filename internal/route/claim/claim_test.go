package claim_test

import (
	"context"
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

func newClaims(t *testing.T, kv *fake.KV, name string) *claim.Claims {
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
