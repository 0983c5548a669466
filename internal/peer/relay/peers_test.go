package relay

import (
	"errors"
	"testing"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

func TestLargerPeerNeedsOneAndAHalfTimesTheCores(t *testing.T) {
	for _, c := range []struct {
		self, other float64
		larger      bool
	}{
		{0.2, 0.8, true}, {0.8, 0.2, false}, {0.4, 0.4, false}, {0.4, 0.5, false}, {0, 0.8, false}, {0.2, 0, false},
	} {
		kv := fake.NewTransactor()
		one := &Peers{Store: kv, Self: Peer{Name: "one", Address: "a:1", Cores: c.self}, Log: event.Discard()}
		two := &Peers{Store: kv, Self: Peer{Name: "two", Address: "b:1", Cores: c.other}, Log: event.Discard()}
		assert.NilError(t, one.register(t.Context()))
		assert.NilError(t, two.register(t.Context()))
		assert.NilError(t, one.refresh(t.Context()))
		assert.Equal(t, one.HasLargerPeer(), c.larger, "%v", c)
		assert.DeepEqual(t, one.Others(), []Peer{{Name: "two", Address: "b:1", Cores: c.other}})
	}
}

// A lease proxy may have to extend the leases of 220 workers. Where 3 of 29 instances in a data centre have four times the
// cores of the others, one of these 3 must be chosen.
func TestLargestInstancesOfADataCentreComeFirst(t *testing.T) {
	p := &Peers{others: []Peer{
		{Address: "small", DataCentre: "dc", Cores: 0.2}, {Address: "large", DataCentre: "dc", Cores: 0.8},
		{Address: "elsewhere", DataCentre: "other", Cores: 1}, {Address: "second", DataCentre: "dc", Cores: 0.8},
	}}
	assert.DeepEqual(t, p.AddressesIn("dc"), []string{"large", "second", "small"})
	assert.Equal(t, len(p.AddressesIn("none")), 0)
}

// Guards against a ping that fails although the store responds, or succeeds although it does not.
func TestPingSucceedsIfTheStoreResponds(t *testing.T) {
	kv := fake.NewTransactor()
	p := &Peers{Store: kv, Self: Peer{Name: "one", Address: "a:1"}, Log: event.Discard()}
	operation := ""
	note := func(outcome fake.CallOutcome) {
		kv.SetOutcomes(func(called string) fake.CallOutcome {
			operation = called
			return outcome
		})
	}
	note(fake.Delivered)
	assert.NilError(t, p.Ping(t.Context()))
	assert.Equal(t, operation, "item", "without a lease")
	assert.NilError(t, p.register(t.Context()))
	assert.NilError(t, p.Ping(t.Context()))
	assert.Equal(t, operation, "renew")
	for _, outcome := range []fake.CallOutcome{fake.Down, fake.RequestLost} {
		note(outcome)
		assert.Assert(t, p.Ping(t.Context()) != nil)
	}
	note(fake.Delivered)
	kv.ExpireLease(p.lease)
	var lapsed *store.LapsedError
	assert.Assert(t, errors.As(kv.Renew(t.Context(), p.lease), &lapsed))
	assert.NilError(t, p.Ping(t.Context()), "the lease has lapsed")
}
