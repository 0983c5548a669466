package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// oneSlow returns rates of 5 percent per second, and the given share of it on one worker.
func oneSlow(slow string, share float64) func(string) float64 {
	return func(id string) float64 {
		if id == slow {
			return 5 * share
		}
		return 5
	}
}

// learnSpeeds runs a gang on all workers for a while and cancels it.
func (c *cluster) learnSpeeds(rate func(string) float64) {
	c.submit("learn", planQueue, "beta", gang(len(c.infos), 8))
	c.step()
	c.advanceAtRate(5*time.Second, rate)
	c.engine.Cancel("learn", c.now)
	c.step()
	c.step()
	c.stops = nil
}

// slowStops returns the runs that were stopped because a worker had become slow.
func (c *cluster) slowStops() []group.Decision {
	var stops []group.Decision
	for _, d := range c.decisions {
		if d.Kind == group.RunStopped && d.Cause == group.SlowWorker {
			stops = append(stops, d)
		}
	}
	return stops
}

// Guards against discarded work on deployments with a share of workers that are slow for good: gangs were placed on them, found
// slow, stopped and started again from the beginning, for up to 33,000 core-seconds on one day.
func TestGangStaysOnAWorkerThatWasKnownAsSlow(t *testing.T) {
	c := newCluster(t, 1, 6)
	rate := oneSlow("w0-0", 0.55)
	c.learnSpeeds(rate)
	moves := len(c.slowStops())
	step := gang(5, 8)
	step.Estimate = 20 * time.Second
	c.infos[5].Draining = true
	c.engine.SetWorkers(c.infos, c.now)
	c.submit("long", planQueue, "beta", step)
	c.step()
	assert.Equal(t, c.workersOf("long")["w0-0"], 1)
	c.infos[5].Draining = false
	c.engine.SetWorkers(c.infos, c.now)
	c.advanceAtRate(10*time.Second, rate)
	assert.Equal(t, len(c.slowStops()), moves)
}

// Guards against stops without a use: a gang was stopped for a slow worker although it could only restart on the same ones, and lost
// its work.
func TestGangStaysOnASlowWorkerWithoutRoomOnFasterOnes(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.submit("other", planQueue, "beta", gang(1, 8))
	c.step()
	c.submit("long", planQueue, "beta", gang(2, 8))
	c.step()
	slow := ""
	for id := range c.workersOf("long") {
		slow = max(slow, id)
	}
	c.advanceAtRate(8*time.Second, oneSlow(slow, 0.3))
	assert.Equal(t, len(c.slowStops()), 0)
}

// Guards against restarts on workers that are no faster: with one slow worker in four, a gang that moves to workers without samples
// is as slow there.
func TestGangDoesNotMoveToWorkersThatAreLikelyAsSlow(t *testing.T) {
	c := newCluster(t, 1, 12)
	rate := func(id string) float64 {
		if id == "w0-0" || id == "w0-1" || id == "w0-10" {
			return 2.7
		}
		return 5
	}
	sampled, unsampled := c.infos[:8], c.infos[8:]
	c.drain(unsampled, true)
	c.submit("learn", planQueue, "beta", gang(8, 8))
	c.step()
	c.advanceAtRate(5*time.Second, rate)
	c.engine.Cancel("learn", c.now)
	c.step()
	c.step()
	moves := len(c.slowStops())
	c.drain(unsampled, false)
	c.drain(sampled, true)
	step := gang(3, 8)
	step.Estimate = 20 * time.Second
	c.submit("long", planQueue, "beta", step)
	c.step()
	assert.Equal(t, c.workersOf("long")["w0-10"], 1)
	c.advanceAtRate(5*time.Second, rate)
	assert.Equal(t, len(c.slowStops()), moves)
}

// drain changes whether the workers, which are part of the cluster's list, are draining.
func (c *cluster) drain(infos []group.WorkerInfo, draining bool) {
	for i := range infos {
		infos[i].Draining = draining
	}
	c.engine.SetWorkers(c.infos, c.now)
}

// Guards against a rule against moves that also keeps gangs on workers that turn slow: one that was known as fast and no longer is
// must be noticed within a few seconds of work.
func TestGangLeavesAWorkerThatWasKnownAsFastAndTurnsSlow(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.learnSpeeds(func(string) float64 { return 5 })
	c.submit("long", planQueue, "beta", gang(3, 8))
	c.step()
	slow := ""
	for id := range c.workersOf("long") {
		slow = max(slow, id)
	}
	c.advanceAtRate(3*time.Second, oneSlow(slow, 0.3))
	assert.Equal(t, c.workersOf("long")[slow], 0)
	assert.Equal(t, len(c.workersOf("long")), 3)
	stops := c.slowStops()
	assert.Equal(t, len(stops), 1)
	assert.Assert(t, stops[0].Text != "")
}
