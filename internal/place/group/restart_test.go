package group_test

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// restart starts the worker again as the given incarnation, with nothing running.
func (c *cluster) restart(id string, incarnation int64) {
	c.running[id] = make(map[string]group.RunningEntry)
	c.lastExit[id] = 0
	for i := range c.infos {
		if c.infos[i].ID == id {
			c.infos[i].Incarnation = incarnation
		}
	}
}

// Guards against a log that can't tell a restart from a stale list entry: each change of incarnation names its source.
func TestRestartIsLoggedWithItsIncarnationsAndSource(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.restart("w0-0", 2)
	c.poll("w0-0")
	c.restart("w0-1", 3)
	c.engine.SetWorkers(c.infos, c.now)
	c.step()
	assert.DeepEqual(t, c.decisions, []group.Decision{
		{Kind: group.WorkerRestarted, Worker: "w0-0", Incarnation: 2, Previous: 1, Text: "read from its own listing"},
		{Kind: group.WorkerRestarted, Worker: "w0-1", Incarnation: 3, Previous: 1, Text: "read from the worker list"},
	})
}
