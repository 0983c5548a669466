package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// halfDone returns a cluster of one worker, on which a task has 60 percent at its measured rate of 20 percent a second.
func halfDone(t *testing.T) *cluster {
	c := newCluster(t, 1, 1)
	c.submit("long", batchQueue, "beta", gang(1, 8))
	c.step()
	for _, percent := range []int{40, 50, 60} {
		c.pollIn(500 * time.Millisecond)
		c.setPercent("long.0.0.0", percent)
		c.pollAll()
	}
	return c
}

// Guards against quick load beyond a guarantee that stops work although its room becomes free in time for the quick job's objective.
func TestQuickLoadAwaitsRoomThatIsFreeInTimeForItsObjective(t *testing.T) {
	c := halfDone(t)
	c.submit("quick", quickQueue, "beta", gang(1, 8))
	c.step()
	assert.Equal(t, len(c.stops), 0)
	for _, percent := range []int{80, 95} {
		c.pollIn(time.Second)
		c.setPercent("long.0.0.0", percent)
		c.pollAll()
		c.step()
	}
	c.exitTask("long.0.0.0", group.Done)
	c.step()
	assert.Equal(t, len(c.workersOf("quick")), 1)
	assert.Equal(t, len(c.stops), 0)
}

// Guards against quick load that waits so long for an end that it misses its objective.
func TestQuickLoadStopsAwaitedWorkInTimeForItsObjective(t *testing.T) {
	c := halfDone(t)
	c.submit("quick", quickQueue, "beta", gang(1, 8))
	submitted := c.now
	for len(c.workersOf("quick")) == 0 {
		c.pollIn(100 * time.Millisecond)
		c.step()
		assert.Assert(t, c.now.Sub(submitted) < 5*time.Second)
	}
	assert.Equal(t, len(c.stops), 1)
	// Its objective is 1.5 times 8 s and 250 ms.
	assert.Assert(t, c.now.Sub(submitted)+8*time.Second <= 12250*time.Millisecond)
}

// Guards against late quick load that stops work and misses its objective all the same, unless it is guaranteed to run.
func TestQuickLoadThatMissesItsObjectiveStopsNothing(t *testing.T) {
	for workspace, stops := range map[string]int{"beta": 0, "alpha": 1} {
		c := newCluster(t, 1, 1)
		c.submit("long", batchQueue, "beta", gang(1, 8))
		c.step()
		c.advanceTime(time.Second)
		spec := specOf("quick", quickQueue, gang(1, 8))
		spec.Workspace = workspace
		c.engine.Load(spec, nil, 9*time.Second, c.now, c.now)
		c.step()
		assert.Equal(t, len(c.stops), stops, workspace)
	}
}
