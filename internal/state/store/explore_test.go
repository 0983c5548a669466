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
type claimer struct {
	client   *store.Client
	entry    store.Entry
	hasEntry bool
	claimed  bool
	// unsure is true after a write of unknown fate; such a request counts as one that may have run.
	unknown bool
}

// claimScene is two takers, and faults of the service.
type claimScenario struct {
	kv       *fake.KV
	claimers [2]*claimer
}

func newClaimScenario() *claimScenario {
	clock := &manualClock{at: time.Unix(1000, 0)}
	s := &claimScenario{kv: fake.NewKV(clock.now)}
	for i, name := range []string{"a", "b"} {
		c := newClient(s.kv, name, clock)
		tries := 0
		c.Pause = func(context.Context, time.Duration) bool { tries++; return tries%3 != 0 }
		s.claimers[i] = &claimer{client: c}
	}
	return s
}

func (c *claimer) readKey() {
	entry, err := c.client.Get(ctx, store.Claims, "order")
	if err == nil {
		c.entry, c.hasEntry = entry, true
	}
}

// take writes a claim if the copy, however old, shows none.
func (c *claimer) tryClaim() {
	if !c.hasEntry || c.entry.Version != 0 || c.claimed {
		return
	}
	written, err := c.client.Swap(ctx, store.Claims, c.entry, "mine", 0)
	var unknown *store.UnknownError
	switch {
	case err == nil:
		c.claimed, c.entry = true, written
	case errors.As(err, &unknown):
		c.unknown = true
	}
}

var claimActions = []func(s *claimScenario){
	func(s *claimScenario) { s.claimers[0].readKey() },
	func(s *claimScenario) { s.claimers[1].readKey() },
	func(s *claimScenario) { s.claimers[0].tryClaim() },
	func(s *claimScenario) { s.claimers[1].tryClaim() },
	func(s *claimScenario) { s.kv.SetFault(fake.Fault{LoseAnswers: 1}) },
	func(s *claimScenario) { s.kv.SetFault(fake.Fault{LoseAnswers: 9}) },
	func(s *claimScenario) { s.kv.SetFault(fake.Fault{Down: true}) },
	func(s *claimScenario) { s.kv.SetFault(fake.Fault{}) },
}

// claimDepth is how many moves the exploration makes.
const explorationDepth = 6

func TestEveryInterleavingTakesAClaimAtMostOnce(t *testing.T) {
	path := make([]int, explorationDepth)
	sequences, claimed := 0, 0
	var explore func(level int)
	explore = func(level int) {
		if level < explorationDepth {
			for action := range claimActions {
				path[level] = action
				explore(level + 1)
			}
			return
		}
		s := newClaimScenario()
		for _, action := range path {
			claimActions[action](s)
		}
		sequences++
		if s.claimers[0].claimed && s.claimers[1].claimed {
			t.Fatalf("both took the claim after moves %v", path)
		}
		if s.claimers[0].claimed || s.claimers[1].claimed {
			claimed++
		}
	}
	explore(0)
	assert.Equal(t, sequences, 262144)
	assert.Equal(t, claimed > 0, true, "some sequences do take it")
	t.Logf("%d sequences, the claim taken in %d", sequences, claimed)
}
