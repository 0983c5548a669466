package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// speedsByID returns rates of 10 percent per second, and the given shares of it on the workers that are named.
func speedsByID(shares map[string]float64) func(string) float64 {
	return func(id string) float64 {
		if share, named := shares[id]; named {
			return 10 * share
		}
		return 10
	}
}

// Guards against gangs that mix workers of unlike speeds where neither kind alone has room for them: those on fast workers wait for
// the slowest member. One worker in four is at 0.55 of the usual speed, others in between.
func TestGangThatNeedsSlowWorkersUsesTheFastestOfThem(t *testing.T) {
	c := newCluster(t, 1, 7)
	c.learnSpeeds(speedsByID(map[string]float64{"w0-0": 0.55, "w0-1": 0.55, "w0-2": 0.8}))
	c.drain(c.infos[5:], true)
	c.submit("long", planQueue, "beta", gang(3, 8))
	c.step()
	assert.DeepEqual(t, c.workersOf("long"), map[string]int{"w0-2": 1, "w0-3": 1, "w0-4": 1})
}

// Guards against long gangs on slow workers that make them miss their objective while fast ones are free.
func TestLongGangUsesSlowWorkersOnlyWithinItsObjective(t *testing.T) {
	for name, test := range map[string]struct {
		age  time.Duration
		slow bool
	}{
		"new": {slow: true},
		// The objective is 25 s after the acceptance: a run of 8 s by estimate takes up to 22 s at 0.55 of the speed.
		"has waited": {age: 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 4)
			c.learnSpeeds(speedsByID(map[string]float64{"w0-0": 0.55, "w0-1": 0.55}))
			c.engine.Load(&work.Spec{Job: "long", Queue: planQueue, Workspace: "beta", Steps: []work.Step{gang(2, 8)}}, nil, test.age, c.now, c.now)
			c.step()
			slow := c.workersOf("long")["w0-0"] + c.workersOf("long")["w0-1"]
			assert.Equal(t, slow > 0, test.slow)
			assert.Equal(t, len(c.workersOf("long")), 2)
		})
	}
}

// Guards against single tasks that miss their objective on a slow worker while a fast one is free, as the fullest worker came first.
func TestLongTaskPrefersAFastWorkerIfASlowOneIsTooSlow(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.learnSpeeds(speedsByID(map[string]float64{"w0-0": 0.55}))
	step := work.Step{Count: 1, MilliCores: 1000, MemoryMB: 1000, Accelerators: 1, Estimate: 8 * time.Second}
	c.engine.Load(&work.Spec{Job: "late", Queue: planQueue, Workspace: "beta", Steps: []work.Step{step}}, nil, 12*time.Second, c.now, c.now)
	c.step()
	assert.Equal(t, c.workersOf("late")["w0-0"], 0)
	assert.Equal(t, len(c.workersOf("late")), 1)
}

// Guards against work that waits for a fast worker: with nothing running it must start within 3 s while less than half is in use (LOST).
func TestWorkStartsOnSlowWorkersIfNoOthersAreFree(t *testing.T) {
	c := newCluster(t, 1, 7)
	c.learnSpeeds(speedsByID(map[string]float64{"w0-0": 0.55, "w0-1": 0.55, "w0-2": 0.8}))
	c.drain(c.infos[4:], true)
	c.submit("first", quickQueue, "alpha", gang(1, 8))
	c.step()
	assert.Equal(t, c.workersOf("first")["w0-3"], 1)
	c.submit("gang", quickQueue, "beta", gang(2, 8))
	c.engine.Load(&work.Spec{Job: "late", Queue: planQueue, Workspace: "beta", Steps: []work.Step{gang(1, 8)}}, nil, 24*time.Second, c.now, c.now)
	c.step()
	assert.Equal(t, len(c.workersOf("gang")), 2)
	assert.Equal(t, len(c.workersOf("late")), 1)
}
