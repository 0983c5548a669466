package store_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

// taker is one instance that wants to claim a key.
type taker struct {
	client *store.Client
	entry  store.Entry
	read   bool
	taken  bool
	// unsure is true after a write of unknown fate; such a request counts as one that may have run.
	unsure bool
}

// claimScene is two takers, and faults of the service.
type claimScene struct {
	kv     *fake.KV
	takers [2]*taker
}

func newClaimScene() *claimScene {
	clock := &still{at: time.Unix(1000, 0)}
	s := &claimScene{kv: fake.NewKV(clock.now)}
	for i, name := range []string{"a", "b"} {
		c := newClient(s.kv, name, clock)
		tries := 0
		c.Pause = func(context.Context, time.Duration) bool { tries++; return tries%3 != 0 }
		s.takers[i] = &taker{client: c}
	}
	return s
}

func (k *taker) look() {
	entry, err := k.client.Get(ctx, store.Claims, "order")
	if err == nil {
		k.entry, k.read = entry, true
	}
}

// take writes a claim if the copy, however old, shows none.
func (k *taker) take() {
	if !k.read || k.entry.Version != 0 || k.taken {
		return
	}
	written, err := k.client.Swap(ctx, store.Claims, k.entry, "mine", 0)
	var unknown *store.UnknownError
	switch {
	case err == nil:
		k.taken, k.entry = true, written
	case errors.As(err, &unknown):
		k.unsure = true
	}
}

var claimMoves = []func(s *claimScene){
	func(s *claimScene) { s.takers[0].look() },
	func(s *claimScene) { s.takers[1].look() },
	func(s *claimScene) { s.takers[0].take() },
	func(s *claimScene) { s.takers[1].take() },
	func(s *claimScene) { s.kv.SetFault(fake.Fault{LoseAnswers: 1}) },
	func(s *claimScene) { s.kv.SetFault(fake.Fault{LoseAnswers: 9}) },
	func(s *claimScene) { s.kv.SetFault(fake.Fault{Down: true}) },
	func(s *claimScene) { s.kv.SetFault(fake.Fault{}) },
}

// claimDepth is how many moves the exploration makes.
const claimDepth = 6

func TestEveryInterleavingTakesAClaimAtMostOnce(t *testing.T) {
	path := make([]int, claimDepth)
	sequences, taken := 0, 0
	var explore func(level int)
	explore = func(level int) {
		if level < claimDepth {
			for m := range claimMoves {
				path[level] = m
				explore(level + 1)
			}
			return
		}
		s := newClaimScene()
		for _, m := range path {
			claimMoves[m](s)
		}
		sequences++
		if s.takers[0].taken && s.takers[1].taken {
			t.Fatalf("both took the claim after moves %v", path)
		}
		if s.takers[0].taken || s.takers[1].taken {
			taken++
		}
	}
	explore(0)
	assert.Equal(t, sequences, 262144)
	assert.Equal(t, taken > 0, true, "some sequences do take it")
	t.Logf("%d sequences, the claim taken in %d", sequences, taken)
}
