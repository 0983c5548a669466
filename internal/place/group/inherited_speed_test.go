package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// inheritedSlow are the speeds that a new owner inherits.
func inheritedSlow() []group.KnownSpeed {
	return []group.KnownSpeed{{Worker: "w0-0", Incarnation: 1, Speed: 0.55, Certainty: 0.9}, {Worker: "w0-1", Incarnation: 1, Speed: 0.55, Certainty: 0.9}}
}

// Guards against quick gangs on slow workers right after a change of owner: speeds began at 1 with each owner.
func TestNewOwnerInheritsSpeeds(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.learnSpeeds(speedsByID(map[string]float64{"w0-0": 0.55}))
	next := newCluster(t, 1, 4)
	next.engine.InheritSpeeds(c.engine.KnownSpeeds())
	next.submit("quick", quickQueue, "alpha", gang(3, 8))
	next.step()
	assert.Equal(t, next.workersOf("quick")["w0-0"], 0)
}

// Guards against speeds that are lost because they are read before the list of workers.
func TestSpeedsMayBeInheritedBeforeTheWorkersAreListed(t *testing.T) {
	c := newCluster(t, 1, 2)
	listed := c.infos
	c.engine = group.New(group.DefaultConfig())
	c.engine.InheritSpeeds(inheritedSlow())
	c.engine.SetWorkers(listed, c.now)
	assert.Equal(t, len(c.engine.KnownSpeeds()), 2)
}

// Guards against the speed of an earlier incarnation: the worker may have come back as another kind.
func TestSpeedOfAnotherIncarnationIsUnknown(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.infos[0].Incarnation = 2
	c.engine.SetWorkers(c.infos, c.now)
	c.engine.InheritSpeeds(inheritedSlow())
	known := c.engine.KnownSpeeds()
	assert.Equal(t, len(known), 1)
	assert.Equal(t, known[0].Worker, "w0-1")
}

// Guards against stops of gangs that an earlier owner placed on workers that it knew as slow.
func TestInheritedRunStaysOnAWorkerThatWasKnownAsSlow(t *testing.T) {
	c := newCluster(t, 1, 5)
	step := gang(3, 8)
	step.Estimate = 20 * time.Second
	c.submit("long", planQueue, "beta", step)
	c.step()
	assert.Equal(t, c.workersOf("long")["w0-0"], 1)
	c.engine.InheritSpeeds([]group.KnownSpeed{{Worker: "w0-0", Incarnation: 1, Speed: 0.55, Certainty: 0.9}})
	c.advanceAtRate(5*time.Second, oneSlow("w0-0", 0.55))
	assert.Equal(t, len(c.slowStops()), 0)
}
