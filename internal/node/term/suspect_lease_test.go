package term

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// Guards against BUDGET: a task crashes idle workers, and its short first lease expires there before the machine is back and
// shows the crash, so no crash is ever counted.
func TestTaskLostSoonAfterItsStartGetsAFullLease(t *testing.T) {
	s := newStartOnOneWorker(t)
	_, first, _ := s.prepare(s.order)
	assert.Equal(t, first.Deadline, time.Minute+firstLease)
	s.engine.ApplyStartResult(s.order.Member, group.Accepted, s.now)
	s.now = s.now.Add(20 * time.Second)
	s.validUntil = s.now.Add(time.Second)
	s.engine.Decide(false, s.now)
	s.listCapacity(8)
	s.engine.ApplyListing("w", group.Listing{Incarnation: 1}, s.now, s.now)
	s.sessions["w"].clock.at = s.now
	s.decide(t)
	_, second, _ := s.prepare(s.order)
	assert.Equal(t, second.Run, 2)
	assert.Equal(t, second.Deadline, time.Minute+s.Limits.MaxLease)
}
