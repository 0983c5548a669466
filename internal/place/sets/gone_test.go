package sets_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The pattern: the store was down and its list of workers has lapsed; idle workers on which room is claimed are no longer listed.
func TestClaimOnAWorkerThatIsNoLongerListedIsGivenUp(t *testing.T) {
	s := newSite(t, 2, 2)
	s.submit("saves", batchQueue, "beta", gang(1, 8))
	s.step()
	s.pass(2 * time.Second)
	s.submit("quick", quickQueue, "alpha", gang(4, 8))
	s.step()
	assert.Equal(t, len(s.stops), 1, "room is being made")
	listed := s.infos
	s.infos = nil
	s.engine.SetWorkers(nil, s.now)
	s.engine.Decide(true, s.now)
	s.infos = listed
	s.engine.SetWorkers(listed, s.now)
	s.pass(4 * time.Second)
	assert.Equal(t, len(s.workersOf("quick")), 4)
}
