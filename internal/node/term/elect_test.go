package term

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// others says whether a larger instance is up.
type others bool

// Outclassed returns the value.
func (o others) Outclassed() bool { return bool(o) }

// In knows of none.
func (others) In(string) []string { return nil }

func TestTermIsHandedToALargerInstanceOnceAMinute(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		larger  bool
		age     time.Duration
		handed  time.Duration
		expects bool
	}{
		{"nobody is larger", false, time.Hour, 0, false},
		{"all instances may still be coming up", true, time.Second, 0, false},
		{"a larger one is up", true, 4 * time.Second, 0, true},
		{"it was handed over a moment ago and came back", true, 4 * time.Second, 10 * time.Second, false},
		{"it came back long ago", true, 4 * time.Second, 2 * time.Minute, true},
	} {
		now := began.Add(c.age)
		e := &Elector{Peers: others(c.larger)}
		if c.handed > 0 {
			e.handedOver = now.Add(-c.handed)
		}
		assert.Equal(t, e.handsOver(began, now), c.expects, c.name)
	}
}

func TestGatheringFollowsTheDecisions(t *testing.T) {
	for _, c := range []struct{ took, gathers time.Duration }{
		{0, gather}, {500 * time.Microsecond, gather}, {10 * time.Millisecond, 20 * time.Millisecond}, {time.Second, gatherMost},
	} {
		assert.Equal(t, (&term{took: c.took}).gathering(), c.gathers)
	}
}

// The pattern: the owner has held its key for longer than the service keeps its history.
func TestCandidateWaitsQuietlyForAnOwnerOfLongStanding(t *testing.T) {
	kept := fake.NewTransactor()
	lease, err := kept.Grant(t.Context(), leaseTTL)
	assert.NilError(t, err)
	_, err = kept.Commit(t.Context(), store.Transaction{Writes: []store.Write{{Key: work.OwnerKey, Lease: lease}}})
	assert.NilError(t, err)
	kept.Put("other", nil)
	kept.ForgetHistory()
	calls := make(chan string, 16)
	kept.SetFates(func(operation string) fake.Fate {
		if operation == "changes" {
			// The owner ends while the candidate watches.
			go kept.Lapse(lease)
		}
		calls <- operation
		return fake.Delivered
	})
	e := &Elector{Log: event.Discard(), Store: kept, Now: time.Now, yielded: true}
	_, token, _, err := e.take(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, token, int64(0))
	items, _, err := kept.Range(t.Context(), work.OwnerKey)
	assert.NilError(t, err)
	assert.Equal(t, len(items), 0, "the candidate returned although the owner had not gone")
	assert.Assert(t, !e.yielded, "the key will be free anew")
	assert.Equal(t, <-calls, "range")
	assert.Equal(t, <-calls, "changes")
}

// The pattern: an idle worker answers at the end of each look, and the owner's decisions take their time.
func TestIdleWorkerIsHeardOfOftenEnoughToBeGivenWork(t *testing.T) {
	assert.Assert(t, 2*idleWait+answerTimeout <= sets.DefaultConfig().HeardWithin)
}
