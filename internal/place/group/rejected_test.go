package group_test

import (
	"math"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against a cancel that waits for the next attempt to write a record that the store has rejected.
func TestEndOfAJobWithARejectedRecordIsWrittenAtOnce(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "alpha", gang(1, 1))
	last := time.Duration(0)
	for range 12 {
		updates := c.decideAndUpdate(math.MaxInt)
		assert.Equal(t, len(updates), 1)
		delay := c.engine.Rejected(updates[0], c.now)
		assert.Assert(t, delay >= last && delay > 0)
		last = delay
		c.now = c.now.Add(last - time.Millisecond)
		assert.Equal(t, len(c.decideAndUpdate(math.MaxInt)), 0)
		c.now = c.now.Add(time.Millisecond)
	}
	assert.Assert(t, last <= 10*time.Second)
	rejected := c.decideAndUpdate(math.MaxInt)
	assert.Equal(t, len(rejected), 1)
	c.engine.Rejected(rejected[0], c.now)
	c.engine.Cancel("job-a", c.now)
	ended := c.decideAndUpdate(math.MaxInt)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Record.Phase, work.Cancelled)
}

// Guards against a rejection that hides the end of a job: it came while the update was on its way.
func TestEndOfAJobIsWrittenAtOnceAfterARejectionOfAnEarlierUpdate(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.submit("job-a", planQueue, "alpha", gang(1, 1))
	updates := c.decideAndUpdate(math.MaxInt)
	c.engine.Cancel("job-a", c.now)
	c.engine.Rejected(updates[0], c.now)
	ended := c.decideAndUpdate(math.MaxInt)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Record.Phase, work.Cancelled)
}
