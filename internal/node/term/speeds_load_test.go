package term_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// lostSpeeds never answers reads of the record of speeds, and counts them.
type lostSpeeds struct {
	store.Transactor
	reads atomic.Int32
}

func (s *lostSpeeds) Item(ctx context.Context, key string) (store.Item, error) {
	if key != work.SpeedsKey {
		return s.Transactor.Item(ctx, key)
	}
	s.reads.Add(1)
	<-ctx.Done()
	return store.Item{}, &store.LostError{Cause: ctx.Err().Error()}
}

// Guards against a term that waits for the speeds, or asks for them again and again.
func TestSpeedsDoNotDelayATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.submit()
		kv := &lostSpeeds{Transactor: s.store}
		s.electOn("a", kv, s.agents, nil)
		began := time.Now()
		s.eventually("the task runs", s.running)
		assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%s", time.Since(began))
		time.Sleep(10 * time.Second)
		assert.Equal(t, kv.reads.Load(), int32(1))
	})
}
