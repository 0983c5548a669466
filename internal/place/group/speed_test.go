package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// advanceAtRate moves the clock; all tasks progress at their worker's rate, in percent per second, and workers answer polls.
func (c *cluster) advanceAtRate(d time.Duration, rate func(worker string) float64) {
	const interval = 100 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(interval)
		for id, tasks := range c.running {
			for name, entry := range tasks {
				c.progress[name] += rate(id) * interval.Seconds()
				entry.Percent = min(int(c.progress[name]), 99)
				tasks[name] = entry
			}
		}
		c.pollAll()
		c.step()
	}
}

// Guards against quick gangs that stay on a worker that becomes slow, as a fifth of the workers may.
func TestQuickGangMovesFromASlowWorker(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.submit("quick", quickQueue, "alpha", gang(2, 8))
	c.step()
	var slow string
	for id := range c.workersOf("quick") {
		slow = max(slow, id)
	}
	c.advanceAtRate(1200*time.Millisecond, func(id string) float64 {
		if id == slow {
			return 6
		}
		return 30
	})
	assert.Equal(t, c.workersOf("quick")[slow], 0)
	assert.Equal(t, len(c.workersOf("quick")), 2)
}

// Guards against placing quick gangs on slow workers: a third of the workers are of a slower kind, and a gang is as fast as
// its slowest member.
func TestQuickGangsUseWorkersMeasuredAsFast(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.submit("first", planQueue, "alpha", gang(4, 5))
	c.step()
	c.advanceAtRate(3*time.Second, func(id string) float64 {
		if id == "w0-0" || id == "w0-1" {
			return 10
		}
		return 13
	})
	c.submit("quick", quickQueue, "alpha", gang(2, 3))
	c.step()
	assert.Equal(t, c.workersOf("quick")["w0-0"]+c.workersOf("quick")["w0-1"], 0)
	assert.Equal(t, len(c.running["w0-2"])+len(c.running["w0-3"]), 4)
}

func TestTasksThatAreSlowOnOneWorkerDoNotLowerItsSpeed(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit("first", planQueue, "alpha", gang(2, 4))
	c.step()
	c.advanceAtRate(5*time.Second, func(string) float64 { return 2 })
	assert.Equal(t, len(c.stops), 0)
	assert.Equal(t, len(c.workersOf("first")), 1, "both members fit on the fullest worker")
	assert.Equal(t, c.decisions[len(c.decisions)-1].Kind, group.RunPlaced)
}
