package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/lease"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

var ctx = context.Background()

// fixture holds two candidates, one worker, the key-value store and the time.
type fixture struct {
	at      time.Time
	kv      *fake.KV
	workers *fake.Workers
	holders [2]*lease.Holder
	// seen is the epoch that each candidate last read and sends; a paused candidate keeps an old one.
	seen    [2]int64
	highest int64
	ids     int
}

func newFixture() *fixture {
	s := &fixture{at: time.Unix(1000, 0)}
	now := func() time.Time { return s.at }
	s.kv, s.workers = fake.NewKV(now), fake.NewWorkers(now)
	for i := range s.holders {
		client := store.NewClient(s.kv, store.NewBudget(1e6, 1e6), now, func() string { s.ids++; return fmt.Sprint(s.ids) })
		client.Pause = func(context.Context, time.Duration) bool { return true }
		s.holders[i] = lease.NewHolder(client, "plovdiv", fmt.Sprint("instance-", i))
	}
	return s
}

// actions are all events that can happen next.
var actions = []struct {
	name string
	do   func(s *fixture, t *testing.T)
}{
	{"a steps", func(s *fixture, _ *testing.T) { _ = s.holders[0].Step(ctx, s.at) }},
	{"b steps", func(s *fixture, _ *testing.T) { _ = s.holders[1].Step(ctx, s.at) }},
	{"a reads its epoch", func(s *fixture, _ *testing.T) { s.seen[0], _ = s.holders[0].Epoch(s.at) }},
	{"b reads its epoch", func(s *fixture, _ *testing.T) { s.seen[1], _ = s.holders[1].Epoch(s.at) }},
	{"a calls the worker", func(s *fixture, t *testing.T) { s.sendOrder(t, 0) }},
	{"b calls the worker", func(s *fixture, t *testing.T) { s.sendOrder(t, 1) }},
	{"time passes", func(s *fixture, _ *testing.T) { s.at = s.at.Add(1600 * time.Millisecond) }},
	{"the next response of the store is lost", func(s *fixture, _ *testing.T) { s.kv.SetFault(fake.Fault{LoseResponses: 1}) }},
}

// sendOrder calls the worker with the epoch that the candidate last read, however long ago that was.
func (s *fixture) sendOrder(t *testing.T, i int) {
	if s.seen[i] == 0 {
		return
	}
	_, err := s.workers.Sync(ctx, worker.Request{Worker: "w", Epoch: s.seen[i], Lease: span.Of(time.Second)})
	if err == nil {
		assert.Equal(t, s.seen[i] >= s.highest, true, "the worker accepted epoch %d after %d", s.seen[i], s.highest)
		s.highest = s.seen[i]
	}
}

func (s *fixture) assertOneOwner(t *testing.T, path []int) {
	first, a := s.holders[0].Epoch(s.at)
	second, b := s.holders[1].Epoch(s.at)
	if a && b {
		names := make([]string, len(path))
		for i, m := range path {
			names[i] = actions[m].name
		}
		t.Fatalf("two valid leases, epochs %d and %d, after %v", first, second, names)
	}
}

// depth is the number of actions in each explored sequence.
const depth = 6

func TestEveryInterleavingHasOneOwnerAtATime(t *testing.T) {
	states := 0
	path := make([]int, depth)
	var explore func(level int)
	explore = func(level int) {
		if level == depth {
			s := newFixture()
			for i, m := range path {
				actions[m].do(s, t)
				s.assertOneOwner(t, path[:i+1])
			}
			states++
			return
		}
		for m := range actions {
			path[level] = m
			explore(level + 1)
		}
	}
	explore(0)
	assert.Equal(t, states, 262144)
	t.Logf("%d sequences of %d actions", states, depth)
}

func TestHolderLapsesBeforeTheStoreExpiresTheLease(t *testing.T) {
	s := newFixture()
	assert.NilError(t, s.holders[0].Step(ctx, s.at))
	s.kv.SetFault(fake.Fault{Down: true})
	s.at = s.at.Add(lease.TTL - 200*time.Millisecond)
	_, ok := s.holders[0].Epoch(s.at)
	assert.Equal(t, ok, false)
	s.kv.SetFault(fake.Fault{})
	assert.NilError(t, s.holders[1].Step(ctx, s.at))
	_, ok = s.holders[1].Epoch(s.at)
	assert.Equal(t, ok, false, "the store has not expired the first lease yet")
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	s := newFixture()
	assert.NilError(t, s.holders[0].Step(ctx, s.at))
	first, _ := s.holders[0].Epoch(s.at)
	assert.NilError(t, s.holders[0].Release(ctx))
	assert.NilError(t, s.holders[1].Step(ctx, s.at))
	second, ok := s.holders[1].Epoch(s.at)
	assert.Equal(t, ok, true)
	assert.Equal(t, second > first, true)
}
