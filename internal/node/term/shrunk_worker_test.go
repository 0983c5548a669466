package term

import (
	"math"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// startOnOneWorker is an owner with one worker and the start order of one task that needs half of it.
type startOnOneWorker struct {
	*term
	now   time.Time
	order group.StartOrder
}

func newStartOnOneWorker(t *testing.T) *startOnOneWorker {
	t.Helper()
	s := &startOnOneWorker{now: time.Unix(1000, 0)}
	clock := func() time.Time { return s.now }
	e := &Elector{
		Log: event.Discard(), Now: clock, Policy: policy.NewHolder(emptySource{}, clock, func(policy.Snapshot) {}),
		Limits: Limits{MaxLease: 6 * time.Second, StopTimeout: time.Second, PolicyAge: time.Minute, ListAge: time.Minute, Retention: time.Minute, RemoteFactor: 3},
	}
	assert.NilError(t, e.Policy.Refresh(t.Context()))
	s.term = newTerm(e, 1, 7, s.now)
	s.engine.SetPolicy(group.Policy{Queues: []group.Queue{{Name: "plan", Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3}}})
	s.listCapacity(8)
	s.engine.ApplyListing("w", group.Listing{Incarnation: 1}, s.now, s.now)
	s.sessions["w"] = &session{term: s.term, id: "w", clock: clockReading{incarnation: 1, reading: time.Minute, at: s.now}}
	step := work.Step{Count: 1, MilliCores: 1000, Accelerators: 4, Estimate: time.Second}
	s.engine.Load(&work.Spec{Job: "0000000000000001", Queue: "plan", Steps: []work.Step{step}}, nil, 0, s.now, s.now)
	s.decide(t)
	return s
}

// decide takes one decision, which must order a start.
func (s *startOnOneWorker) decide(t *testing.T) {
	t.Helper()
	s.order = group.StartOrder{}
	s.engine.Decide(true, s.now)
	for _, u := range s.engine.Updates(math.MaxInt, s.now) {
		s.engine.Committed(u, s.now)
	}
	for _, action := range s.engine.Actions() {
		if order, ok := action.(group.StartOrder); ok {
			s.order = order
		}
	}
	assert.Assert(t, s.order.Member != nil)
}

// listCapacity applies a list in which the worker has that many accelerators.
func (s *startOnOneWorker) listCapacity(accelerators int) {
	capacity := group.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: accelerators}
	s.engine.SetWorkers([]group.WorkerInfo{{ID: "w", Address: "w", Service: "main", DataCentre: "dc", Rack: "r", Capacity: capacity, Incarnation: 1}}, s.now)
	s.listedAt = s.now
}

// maySend reports whether the order may be sent now, and whether it is still wanted.
func (s *startOnOneWorker) maySend() (now, wanted bool) {
	to, _, wanted := s.prepare(s.order)
	return to.Address != "", wanted
}

func (s *startOnOneWorker) assertMaySend(t *testing.T, wantNow, wantWanted bool) {
	t.Helper()
	now, wanted := s.maySend()
	assert.Equal(t, now, wantNow)
	assert.Equal(t, wanted, wantWanted)
}

// Guards against a start beyond a worker's capacity: the worker shrinks between the last decision and the sending of the order.
func TestStartIsNotSentToAWorkerThatHasShrunk(t *testing.T) {
	s := newStartOnOneWorker(t)
	s.listCapacity(2)
	s.assertMaySend(t, false, true)
	s.engine.Decide(true, s.now)
	s.assertMaySend(t, false, false)
}

// Guards against a start beyond a worker's capacity by a repeated order: the response to the first is lost and the worker
// shrinks. The task may run, so it is neither started again nor stopped before its worker's listing shows whether it does.
func TestUnansweredStartIsNotRepeatedWhileItsWorkerHasNoRoom(t *testing.T) {
	s := newStartOnOneWorker(t)
	s.assertMaySend(t, true, true)
	s.listCapacity(2)
	s.engine.Decide(true, s.now)
	assert.Equal(t, len(s.engine.Actions()), 0, "nothing is stopped")
	s.assertMaySend(t, false, true)
	s.listCapacity(4)
	s.assertMaySend(t, true, true)
	s.listCapacity(2)
	running := []group.RunningEntry{{Task: s.order.Task, Run: s.order.Run}}
	s.engine.ApplyListing("w", group.Listing{Incarnation: 1, Running: running}, s.now, s.now)
	s.assertMaySend(t, false, false)
	assert.Equal(t, s.order.Member.State, group.Started)
}

// Guards against a start beyond a worker's capacity: a run that the owner does not know appears on the worker after a start
// was ordered there, and what is being stopped still counts.
func TestStartWaitsUntilAnUnknownRunHasStopped(t *testing.T) {
	s := newStartOnOneWorker(t)
	unknown := []group.RunningEntry{{Task: "gone.0.0.0", Run: 1}}
	s.engine.ApplyListing("w", group.Listing{Incarnation: 1, Running: unknown}, s.now, s.now)
	s.assertMaySend(t, false, true)
	s.engine.ApplyListing("w", group.Listing{Incarnation: 1}, s.now, s.now)
	s.assertMaySend(t, true, true)
}
