package relay

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"gotest.tools/v3/assert"
)

func TestInstanceKnowsWhetherAnotherHasFarMoreOfAProcessor(t *testing.T) {
	for _, c := range []struct {
		self, other float64
		outclassed  bool
	}{
		{0.2, 0.8, true}, {0.8, 0.2, false}, {0.4, 0.4, false}, {0.4, 0.5, false}, {0, 0.8, false}, {0.2, 0, false},
	} {
		kept := fake.NewTransactor()
		one := &Peers{Store: kept, Self: Peer{Name: "one", Address: "a:1", Cores: c.self}, Log: event.Discard()}
		two := &Peers{Store: kept, Self: Peer{Name: "two", Address: "b:1", Cores: c.other}, Log: event.Discard()}
		assert.NilError(t, one.enter(t.Context()))
		assert.NilError(t, two.enter(t.Context()))
		assert.NilError(t, one.read(t.Context()))
		assert.Equal(t, one.Outclassed(), c.outclassed, "%v", c)
		assert.DeepEqual(t, one.Others(), []Peer{{Name: "two", Address: "b:1", Cores: c.other}})
	}
}

// The pattern: of 29 instances in a data centre three are four times as large, and one prolongs the leases of 220 workers.
func TestLargestInstancesOfADataCentreComeFirst(t *testing.T) {
	p := &Peers{others: []Peer{
		{Address: "small", DataCentre: "dc", Cores: 0.2}, {Address: "large", DataCentre: "dc", Cores: 0.8},
		{Address: "elsewhere", DataCentre: "other", Cores: 1}, {Address: "second", DataCentre: "dc", Cores: 0.8},
	}}
	assert.DeepEqual(t, p.In("dc"), []string{"large", "second", "small"})
	assert.Equal(t, len(p.In("none")), 0)
}
