package term

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// fixedPeers is the fixed answer to whether a larger instance is up.
type fixedPeers bool

// HasLargerPeer returns the fixed answer.
func (p fixedPeers) HasLargerPeer() bool { return bool(p) }

// AddressesIn returns no addresses.
func (fixedPeers) AddressesIn(string) []string { return nil }

func TestTermIsHandedToALargerInstanceOnceAMinute(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, c := range []struct {
		name      string
		larger    bool
		age       time.Duration
		handedAgo time.Duration
		want      bool
	}{
		{"no instance is larger", false, time.Hour, 0, false},
		{"all instances may still be starting", true, time.Second, 0, false},
		{"a larger one is up", true, 4 * time.Second, 0, true},
		{"a term was handed over ten seconds ago", true, 4 * time.Second, 10 * time.Second, false},
		{"a term was handed over two minutes ago", true, 4 * time.Second, 2 * time.Minute, true},
	} {
		now := began.Add(c.age)
		e := &Elector{Peers: fixedPeers(c.larger)}
		if c.handedAgo > 0 {
			e.handedOverAt = now.Add(-c.handedAgo)
		}
		assert.Equal(t, e.shouldHandOver(began, now), c.want, c.name)
	}
}

func TestGatheringFollowsTheDecisions(t *testing.T) {
	for _, c := range []struct{ took, want time.Duration }{
		{0, minBatchDelay}, {500 * time.Microsecond, minBatchDelay}, {10 * time.Millisecond, 20 * time.Millisecond}, {time.Second, maxBatchDelay},
	} {
		assert.Equal(t, (&term{lastDecisionTook: c.took}).batchDelay(), c.want)
	}
}

// Guards against a candidate that watches from the revision of the owner's key: the owner has held the key for longer than
// the store keeps its history, so such a watch fails at once each time.
func TestCandidateWaitsQuietlyForAnOwnerOfLongStanding(t *testing.T) {
	kv := fake.NewTransactor()
	lease, err := kv.Grant(t.Context(), leaseTTL)
	assert.NilError(t, err)
	_, err = kv.Commit(t.Context(), store.Transaction{Writes: []store.Write{{Key: work.OwnerKey, Lease: lease}}})
	assert.NilError(t, err)
	kv.Put("other", nil)
	kv.CompactHistory()
	calls := make(chan string, 16)
	kv.SetOutcomes(func(operation string) fake.CallOutcome {
		if operation == "changes" {
			// The owner's lease lapses while the candidate watches.
			go kv.ExpireLease(lease)
		}
		calls <- operation
		return fake.Delivered
	})
	e := &Elector{Log: event.Discard(), Store: kv, Now: time.Now, deferred: true}
	_, token, _, err := e.acquire(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, token, int64(0))
	items, _, err := kv.Range(t.Context(), work.OwnerKey)
	assert.NilError(t, err)
	assert.Equal(t, len(items), 0, "the candidate returned before the key was free")
	assert.Assert(t, !e.deferred, "the next free key may be left to a larger instance again")
	assert.Equal(t, <-calls, "range")
	assert.Equal(t, <-calls, "changes")
}

// Guards against idle workers that count as silent: they answer only at the end of each poll, and decisions add delay.
func TestIdleWorkerIsPolledOftenEnoughToBeGivenWork(t *testing.T) {
	assert.Assert(t, 2*idlePollWait+answerTimeout <= group.DefaultConfig().SeenWithin)
}
