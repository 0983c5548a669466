package term

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// scriptedAgent answers each poll with the listing, or not at all while it is down, and records the polls.
type scriptedAgent struct {
	agent.Client
	listing group.Listing
	clock   time.Duration
	down    bool
	polls   []agent.Poll
	// overtaking is called once, while a poll is in flight.
	overtaking func()
}

func (a *scriptedAgent) Poll(_ context.Context, to agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	a.polls = append(a.polls, poll)
	if a.down {
		return agent.PollResponse{}, &agent.LostError{Worker: to.Worker, Cause: errors.New("down")}
	}
	if during := a.overtaking; during != nil {
		a.overtaking = nil
		during()
	}
	return agent.PollResponse{Listing: a.listing, Clock: a.clock}, nil
}

func (a *scriptedAgent) lastPoll() agent.Poll { return a.polls[len(a.polls)-1] }

// newSession returns a session with a worker that is listed as incarnation 1.
func newSession(t *testing.T, a *scriptedAgent) *session {
	t.Helper()
	now := time.Unix(1000, 0)
	e := &Elector{
		Agent: a, Log: event.Discard(), Meter: meter.New(t.Name()), Now: func() time.Time { now = now.Add(time.Millisecond); return now },
		Limits: Limits{MaxLease: 6 * time.Second},
	}
	tm := newTerm(e, 1, 1, now)
	tm.engine.SetWorkers([]group.WorkerInfo{{
		ID: "w", Address: "w", Service: "main", Capacity: group.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8}, Incarnation: 1,
	}}, now)
	s := &session{term: tm, id: "w", orderSlots: make(chan struct{}, 1), seenAt: now, ackChanged: make(chan struct{}, 1)}
	tm.sessions["w"] = s
	return s
}

// endedContext is the context of a term that has ended, in which nothing waits.
func endedContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// exits lists exits of tasks that no record has, so that they are durable at once.
func exits(numbers ...int64) []group.ExitEntry {
	list := make([]group.ExitEntry, 0, len(numbers))
	for _, number := range numbers {
		list = append(list, group.ExitEntry{Number: number, Task: "unknown", Run: int(number)})
	}
	return list
}

// Guards against tasks that run again after they are done: a worker crashes and comes back between two polls, and the
// numbers and the clock of its earlier incarnation make the new one forget its exits and grant longer leases.
func TestNothingOfAnIncarnationIsSentAfterAPollThatFailed(t *testing.T) {
	a := &scriptedAgent{listing: group.Listing{Incarnation: 1, Exits: exits(1, 2, 3)}}
	s := newSession(t, a)
	ctx := endedContext(t)
	s.poll(ctx)
	s.term.wakeSessions()
	s.poll(ctx)
	assert.Equal(t, a.lastPoll().Acknowledged, int64(3))
	_, known := s.deadline(1, s.term.Now(), time.Second)
	assert.Assert(t, known)
	a.down = true
	s.poll(ctx)
	a.down = false
	_, known = s.deadline(1, s.term.Now(), time.Second)
	assert.Assert(t, !known, "no start is sent to an incarnation that is not known")
	s.poll(ctx)
	assert.DeepEqual(t, a.lastPoll(), agent.Poll{Token: 1})
	s.poll(ctx)
	assert.Equal(t, a.lastPoll().Acknowledged, int64(3))
}

// Guards against exits that are never acknowledged: the first exits of a new incarnation are durable before the next poll.
func TestExitsOfANewIncarnationAreAcknowledged(t *testing.T) {
	a := &scriptedAgent{listing: group.Listing{Incarnation: 1, Exits: exits(1, 2, 3)}}
	s := newSession(t, a)
	ctx := endedContext(t)
	s.poll(ctx)
	a.listing = group.Listing{Incarnation: 2, Exits: exits(1)}
	s.poll(ctx)
	s.term.wakeSessions()
	for range 3 {
		s.poll(ctx)
	}
	assert.Equal(t, a.lastPoll().Acknowledged, int64(1))
}

// Guards against leases that last longer than counted: two polls are in flight as the worker restarts, and the answer of the
// earlier incarnation, with its clock, comes after that of the new one.
func TestClockOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	a := &scriptedAgent{listing: group.Listing{Incarnation: 1}}
	s := newSession(t, a)
	ctx := endedContext(t)
	s.poll(ctx)
	a.overtaking = func() {
		a.listing.Incarnation, a.clock = 2, time.Second
		s.poll(ctx)
		a.listing.Incarnation, a.clock = 1, time.Hour
	}
	s.poll(ctx)
	assert.Equal(t, s.term.engine.Worker("w").Incarnation, int64(2))
	deadline, known := s.deadline(2, s.term.Now(), time.Second)
	assert.Assert(t, known)
	assert.Assert(t, deadline < time.Minute, "%s on a clock that reads a second", deadline)
}

// Guards against leases that last longer than counted: the worker list shows a restart before a poll does.
func TestClockIsNotKnownOnceTheListShowsARestart(t *testing.T) {
	a := &scriptedAgent{listing: group.Listing{Incarnation: 1}}
	s := newSession(t, a)
	s.poll(endedContext(t))
	s.term.engine.SetWorkers([]group.WorkerInfo{{ID: "w", Address: "w", Service: "main", Capacity: group.Resources{MilliCores: 8000}, Incarnation: 2}}, s.term.Now())
	w := s.term.engine.Worker("w")
	assert.Assert(t, !s.knows(w.Incarnation))
}

// Guards against starts that wait for a clock that is known: a poll is lost, and its failure is noticed after a later answer.
func TestFailureOfAnEarlierPollKeepsTheClock(t *testing.T) {
	a := &scriptedAgent{listing: group.Listing{Incarnation: 1}}
	s := newSession(t, a)
	ctx := endedContext(t)
	sent := s.term.Now()
	s.poll(ctx)
	s.pollFailed(ctx, &agent.LostError{Worker: "w", Cause: errors.New("timeout")}, 0, sent, s.term.Now())
	assert.Assert(t, s.knows(1))
}

// Guards against tasks that run again after they are done: a worker crashes and comes back while the session waits for a
// commit, without a poll that fails, and the numbers of its earlier incarnation make the new one forget its exits.
func TestNothingIsAcknowledgedLongAfterTheLastAnswer(t *testing.T) {
	a := &scriptedAgent{listing: group.Listing{Incarnation: 1, Exits: exits(1, 2, 3)}}
	s := newSession(t, a)
	ctx := endedContext(t)
	s.poll(ctx)
	s.term.wakeSessions()
	now := s.term.Now().Add(200 * time.Millisecond)
	s.term.Now = func() time.Time { return now }
	s.poll(ctx)
	assert.DeepEqual(t, a.lastPoll(), agent.Poll{Token: 1})
	s.poll(ctx)
	assert.Equal(t, a.lastPoll().Acknowledged, int64(3))
}
