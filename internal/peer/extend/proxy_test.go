package extend

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// fakeWorker records each poll.
type fakeWorker struct {
	polls   []agent.Poll
	running []group.RunningEntry
}

func (w *fakeWorker) Start(context.Context, agent.Target, agent.Start) error { return nil }
func (w *fakeWorker) Stop(context.Context, agent.Target, agent.Stop) error   { return nil }

func (w *fakeWorker) Poll(_ context.Context, _ agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	w.polls = append(w.polls, poll)
	return agent.PollResponse{Clock: time.Hour, Listing: group.Listing{Running: w.running}}, nil
}

const incarnation = 7

type fixture struct {
	*Proxy
	t      *testing.T
	worker *fakeWorker
	now    time.Time
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, worker: &fakeWorker{running: []group.RunningEntry{{Task: "a", Run: 1}}}, now: time.Unix(1000, 0)}
	f.Proxy = &Proxy{Agent: f.worker, Log: event.Discard(), Now: func() time.Time { return f.now }, Incarnation: incarnation}
	f.send(&Request{})
	return f
}

func (f *fixture) send(request *Request) *Reply {
	f.t.Helper()
	reply, err := f.Allow(f.t.Context(), request)
	assert.NilError(f.t, err)
	return reply
}

func newRequest(number int64, until time.Duration) *Request {
	return &Request{Life: incarnation, Token: 3, Number: number, Until: until, Lease: 6 * time.Second, Workers: []agent.Target{{Worker: "w"}}}
}

func TestLeasesAreExtendedOnlyWhileTheOwnerIsSilentAndAllowsIt(t *testing.T) {
	f := newFixture(t)
	start := f.now
	f.send(newRequest(1, 2*time.Second))
	for _, c := range []struct {
		at  time.Duration
		due bool
	}{
		{100 * time.Millisecond, false}, {899 * time.Millisecond, false}, {900 * time.Millisecond, true},
		{1300 * time.Millisecond, false}, {1400 * time.Millisecond, true}, {2000 * time.Millisecond, false},
	} {
		assert.Equal(t, f.due(start.Add(c.at)) != nil, c.due, "%s", c.at)
	}
}

// A network partition may delay a request until long after the owner has counted the tasks as lost; it must extend nothing.
func TestLateRequestProlongsNothing(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(10 * time.Second)
	f.send(newRequest(1, 2*time.Second))
	assert.Assert(t, f.due(f.now.Add(ownerSilentAfter)) == nil)
}

func TestOlderRequestOrOneForAnotherIncarnationIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.send(newRequest(5, time.Second))
	older := newRequest(4, time.Minute)
	assert.Equal(t, f.send(older).Number, int64(5))
	other := newRequest(6, time.Minute)
	other.Life = incarnation + 1
	assert.Equal(t, f.send(other).Number, int64(5))
	successor := newRequest(1, time.Minute)
	successor.Token = 4
	assert.Equal(t, f.send(successor).Token, int64(4))
}

func TestExtendedLeaseUsesTheClockOfTheWorker(t *testing.T) {
	f := newFixture(t)
	active := newRequest(1, 2*time.Second)
	f.send(active)
	f.now = f.now.Add(time.Second)
	f.extend(t.Context(), active.Workers[0], active)
	assert.DeepEqual(t, f.worker.polls, []agent.Poll{{Token: 3}, {Token: 3, Deadline: time.Hour + 6*time.Second}})
	f.now = f.now.Add(300 * time.Millisecond)
	assert.DeepEqual(t, f.send(newRequest(2, 4*time.Second)).Prolonged, map[string]time.Duration{"w": 300 * time.Millisecond})
}

// The owner may send a new request, or its permission may expire, between the two calls to a worker.
func TestNothingIsExtendedAfterTheRequestIsReplacedOrExpires(t *testing.T) {
	f := newFixture(t)
	active := newRequest(1, 2*time.Second)
	f.send(active)
	f.send(newRequest(2, 2*time.Second))
	f.extend(t.Context(), active.Workers[0], active)
	assert.Equal(t, len(f.worker.polls), 1)
	expired := newRequest(2, 2*time.Second)
	f.now = f.now.Add(2 * time.Second)
	f.extend(t.Context(), expired.Workers[0], expired)
	assert.Equal(t, len(f.worker.polls), 2)
}

func TestLeaseOfAnIdleWorkerIsNotExtended(t *testing.T) {
	f := newFixture(t)
	f.worker.running = nil
	active := newRequest(1, 2*time.Second)
	f.send(active)
	f.extend(t.Context(), active.Workers[0], active)
	assert.Equal(t, len(f.worker.polls), 1)
}
