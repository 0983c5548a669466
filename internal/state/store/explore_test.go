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

// claimer is one instance that tries to claim a key.
type claimer struct {
	client   *store.Client
	entry    store.Entry
	hasEntry bool
	claimed  bool
	// unknown is true after a write with an unknown result; its request counts as one that may have run.
	unknown bool
}

// claimScenario has two claimers and a store with faults.
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

// tryClaim writes a claim if the last read, however old, found none.
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
	func(s *claimScenario) { s.kv.SetFault(fake.Fault{LoseResponses: 1}) },
	func(s *claimScenario) { s.kv.SetFault(fake.Fault{LoseResponses: 9}) },
	func(s *claimScenario) { s.kv.SetFault(fake.Fault{Down: true}) },
	func(s *claimScenario) { s.kv.SetFault(fake.Fault{}) },
}

// explorationDepth is the number of actions in each sequence.
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
			t.Fatalf("both instances got the claim after actions %v", path)
		}
		if s.claimers[0].claimed || s.claimers[1].claimed {
			claimed++
		}
	}
	explore(0)
	assert.Equal(t, sequences, 262144)
	assert.Equal(t, claimed > 0, true, "some sequences get the claim")
	t.Logf("%d sequences, claimed in %d", sequences, claimed)
}
