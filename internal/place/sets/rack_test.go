package sets_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unheard returns two racks of two workers, of which one in each has not answered the owner yet.
func unheard(t *testing.T) *site {
	t.Helper()
	s := newSite(t, 2, 2)
	s.silent["w0-1"], s.silent["w1-1"] = true, true
	s.pass(5 * time.Second)
	return s
}

// The pattern: all instances were killed, and a gang that must stay in a rack comes before its workers have answered.
func TestGangOfOneRackWaitsForWorkersThatAreExpected(t *testing.T) {
	s := unheard(t)
	step := gang(2, 8)
	step.SameRack = true
	s.submit("tight", quickQueue, "beta", step)
	s.step()
	assert.DeepEqual(t, s.workersOf("tight"), map[string]int{})
	s.silent["w1-1"] = false
	s.listAll()
	s.step()
	assert.DeepEqual(t, s.workersOf("tight"), map[string]int{"w1-0": 1, "w1-1": 1})
}

func TestGangOfOneRackIsSpreadOnceWaitingCostsMore(t *testing.T) {
	s := unheard(t)
	step := gang(2, 8)
	step.SameRack = true
	s.submit("tight", quickQueue, "beta", step)
	s.pass(2*step.Estimate + time.Second)
	assert.DeepEqual(t, s.workersOf("tight"), map[string]int{"w0-0": 1, "w1-0": 1})
}

// The pattern: the rack with the data answers a little later than the others.
func TestTaskWaitsForTheRackOfItsDataThatIsExpected(t *testing.T) {
	s := unheard(t)
	s.silent["w1-0"] = true
	s.pass(5 * time.Second)
	step := gang(1, 8)
	step.Affinity = "r1"
	s.submit("near", planQueue, "beta", step)
	s.step()
	assert.DeepEqual(t, s.workersOf("near"), map[string]int{})
	s.silent["w1-0"] = false
	s.listAll()
	s.step()
	assert.DeepEqual(t, s.workersOf("near"), map[string]int{"w1-0": 1})
}
