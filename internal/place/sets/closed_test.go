package sets_test

import (
	"math"
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"gotest.tools/v3/assert"
)

func TestNothingStartsOnAWorkerThatLeaves(t *testing.T) {
	s := newSite(t, 1, 2)
	s.infos[0].Draining = true
	s.engine.SetWorkers(s.infos, s.now)
	s.submit("three", planQueue, "beta", gang(1, 8))
	s.submit("four", planQueue, "beta", gang(1, 8))
	s.step()
	assert.Equal(t, len(s.running[s.infos[0].ID]), 0)
	assert.Equal(t, len(s.running[s.infos[1].ID]), 1)
}

func TestNothingStartsInAnEvacuatedDataCentreUntilItIsTakenBack(t *testing.T) {
	s := newSite(t, 2, 1)
	s.engine.SetPolicy(nil, nil, map[string]bool{"dc0": true})
	s.submit("one", quickQueue, "alpha", gang(1, 8))
	s.submit("two", quickQueue, "alpha", gang(1, 8))
	s.step()
	assert.Equal(t, len(s.running["w0-0"]), 0)
	assert.Equal(t, len(s.running["w1-0"]), 1)
	s.engine.SetPolicy(nil, nil, nil)
	s.step()
	assert.Equal(t, len(s.running["w0-0"]), 1)
}

// The pattern: a worker says that it leaves between the record of an intent and the order.
func TestStartThatHasNotLeftIsWithheldFromAWorkerThatLeaves(t *testing.T) {
	s := newSite(t, 1, 2)
	s.submit("late", planQueue, "beta", gang(1, 8))
	s.engine.Decide(true, s.now)
	for _, u := range s.engine.Updates(math.MaxInt, s.now) {
		s.engine.Committed(u, s.now)
	}
	var order sets.StartOrder
	for _, action := range s.engine.Actions() {
		if a, ok := action.(sets.StartOrder); ok {
			order = a
		}
	}
	for i := range s.infos {
		s.infos[i].Draining = s.infos[i].ID == order.Worker
	}
	s.engine.SetWorkers(s.infos, s.now)
	assert.Assert(t, s.engine.Closed(s.engine.Worker(order.Worker)))
	s.engine.Withhold(order.Member, s.now)
	assert.Assert(t, !order.Member.Wanted())
	s.step()
	assert.Equal(t, s.workersOf("late")[order.Worker], 0)
	assert.Equal(t, len(s.workersOf("late")), 1)
}
