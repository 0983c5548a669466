package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// addWorkers adds workers of a kind to the only rack.
func (c *cluster) addWorkers(kind string, ids ...string) {
	for _, id := range ids {
		info := c.infos[0]
		info.ID, info.Address, info.Labels = id, id, []string{kind, info.Rack}
		c.infos = append(c.infos, info)
		c.running[id] = make(map[string]group.RunningEntry)
	}
	c.engine.SetWorkers(c.infos, c.now)
	c.pollAll()
}

// kindRates returns rates of 10 percent per second, and 5.5 for workers whose names begin with "b".
func kindRates(id string) float64 {
	if id[0] == 'b' {
		return 5.5
	}
	return 10
}

// Guards against quick gangs on new workers of a slow kind: each new owner and each new worker began at speed 1 and needed samples of
// its own, though the kind told its speed.
func TestNewWorkerHasTheSpeedOfItsKind(t *testing.T) {
	c := newCluster(t, 1, 8)
	c.addWorkers("b", "b0", "b1", "b2", "b3", "b4", "b5")
	c.learnSpeeds(kindRates)
	c.addWorkers("b", "b6", "b7")
	c.drain(c.infos[2:14], true)
	c.submit("quick", quickQueue, "alpha", gang(2, 8))
	c.step()
	assert.DeepEqual(t, c.workersOf("quick"), map[string]int{"w0-0": 1, "w0-1": 1})
}

// Guards against stops of gangs on workers of a slow kind that were not sampled before: they are no slower than expected.
func TestGangStaysOnNewWorkersOfASlowKind(t *testing.T) {
	c := newCluster(t, 1, 9)
	c.addWorkers("b", "b0", "b1", "b2", "b3", "b4", "b5")
	c.learnSpeeds(kindRates)
	c.addWorkers("b", "b6")
	c.drain(c.infos[2:15], true)
	moves := len(c.slowStops())
	c.submit("long", planQueue, "beta", gang(3, 8))
	c.step()
	assert.Equal(t, c.workersOf("long")["b6"], 1)
	c.drain(c.infos[2:5], false)
	c.advanceAtRate(5*time.Second, kindRates)
	assert.Equal(t, len(c.slowStops()), moves)
}

// Guards against labels that predict nothing: where slow workers have the same kind as the others, a new worker counts as average.
func TestMixedKindPredictsNoSpeed(t *testing.T) {
	c := newCluster(t, 1, 8)
	c.learnSpeeds(speedsByID(map[string]float64{"w0-0": 0.55, "w0-1": 0.55, "w0-2": 0.55}))
	c.addWorkers("a", "n0", "n1")
	c.drain(c.infos[2:8], true)
	c.submit("quick", quickQueue, "alpha", gang(2, 8))
	c.step()
	assert.DeepEqual(t, c.workersOf("quick"), map[string]int{"n0": 1, "n1": 1})
}
