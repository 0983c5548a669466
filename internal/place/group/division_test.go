package group_test

import (
	"math"
	"slices"
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// updateOf returns the only update.
func (c *cluster) updateOf() group.Update {
	c.t.Helper()
	updates := c.engine.Updates(math.MaxInt, c.now)
	assert.Equal(c.t, len(updates), 1)
	return updates[0]
}

// submitDivided submits a job of single tasks whose record is divided at the groups, and returns the first update after the division.
// Only the phase of the job has changed before.
func (c *cluster) submitDivided(tasks int, starts ...int) group.Update {
	c.t.Helper()
	c.submit("job-a", batchQueue, "alpha", work.Step{Count: tasks, MilliCores: 1000, Accelerators: 1})
	c.step()
	u := c.updateOf()
	c.engine.Divide("job-a", 7, starts)
	c.engine.Uncommitted(u)
	return c.updateOf()
}

func firstGroups(u group.Update) (firsts []int) {
	for _, part := range u.Parts {
		firsts = append(firsts, part.First)
	}
	return firsts
}

// Guards against a division that is durable without some of its parts: a commit failed, and the change that caused it was in one part.
func TestDivisionIsWrittenAsAWholeUntilItIsDurable(t *testing.T) {
	for name, starts := range map[string][]int{"one part": {0}, "three parts": {0, 2, 4}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 2)
			first := c.submitDivided(6, starts...)
			for range 2 {
				assert.Assert(t, first.Head)
				assert.DeepEqual(t, firstGroups(first), []int{0})
				assert.Equal(t, len(first.Parts[0].Groups), 6)
				assert.Assert(t, slices.Equal(first.Parts[0].Starts, starts[1:]))
				c.engine.Uncommitted(first)
				first = c.updateOf()
			}
			first.Record.Division = 7
			c.engine.Committed(first, c.now)
			c.exitTask("job-a.0.0.3", group.Failed)
			next := c.updateOf()
			assert.Assert(t, !next.Head)
			assert.Equal(t, len(next.Parts), 1)
			assert.Equal(t, len(next.Parts[0].Starts), 0)
			c.engine.Uncommitted(next)
			assert.DeepEqual(t, firstGroups(c.updateOf()), firstGroups(next))
		})
	}
}

// Guards against a part that lacks groups on record: it was being divided when a commit failed, and what changes next is elsewhere.
func TestPartThatIsBeingDividedIsWrittenUntilItIsDurable(t *testing.T) {
	c := newCluster(t, 1, 2)
	first := c.submitDivided(6, 0, 3)
	first.Record.Division = 7
	c.engine.Committed(first, c.now)
	c.exitTask("job-a.0.0.5", group.Failed)
	u := c.updateOf()
	assert.DeepEqual(t, firstGroups(u), []int{3})
	c.engine.Divide("job-a", 7, []int{3, 4, 5})
	c.engine.Uncommitted(u)
	c.exitTask("job-a.0.0.1", group.Failed)
	u = c.updateOf()
	assert.DeepEqual(t, firstGroups(u), []int{0, 3})
	assert.DeepEqual(t, u.Parts[1].Starts, []int{4, 5})
	c.engine.Committed(u, c.now)
	c.exitTask("job-a.0.0.4", group.Failed)
	assert.DeepEqual(t, firstGroups(c.updateOf()), []int{4})
}
