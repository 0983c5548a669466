package renew

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/sets"
	"gotest.tools/v3/assert"
)

// worker is one worker's side; each look is kept.
type worker struct {
	looks   []agent.Look
	running []sets.RunningEntry
}

func (w *worker) Start(context.Context, agent.Target, agent.Start) error { return nil }
func (w *worker) Stop(context.Context, agent.Target, agent.Stop) error   { return nil }

func (w *worker) Look(_ context.Context, _ agent.Target, look agent.Look) (agent.Answer, error) {
	w.looks = append(w.looks, look)
	return agent.Answer{Clock: time.Hour, Listing: sets.Listing{Running: w.running}}, nil
}

const life = 7

type scene struct {
	*Substitute
	t      *testing.T
	worker *worker
	now    time.Time
}

func newScene(t *testing.T) *scene {
	t.Helper()
	s := &scene{t: t, worker: &worker{running: []sets.RunningEntry{{Task: "a", Run: 1}}}, now: time.Unix(1000, 0)}
	s.Substitute = &Substitute{Agent: s.worker, Log: event.Discard(), Now: func() time.Time { return s.now }, Life: life}
	s.send(&Request{})
	return s
}

func (s *scene) send(request *Request) *Reply {
	s.t.Helper()
	reply, err := s.Allow(s.t.Context(), request)
	assert.NilError(s.t, err)
	return reply
}

func request(number int64, until time.Duration) *Request {
	return &Request{Life: life, Token: 3, Number: number, Until: until, Lease: 6 * time.Second, Workers: []agent.Target{{Worker: "w"}}}
}

func TestLeasesAreProlongedOnlyWhileTheOwnerIsSilentAndHasAllowedIt(t *testing.T) {
	s := newScene(t)
	began := s.now
	s.send(request(1, 2*time.Second))
	for _, c := range []struct {
		at  time.Duration
		due bool
	}{
		{100 * time.Millisecond, false}, {899 * time.Millisecond, false}, {900 * time.Millisecond, true},
		{1300 * time.Millisecond, false}, {1400 * time.Millisecond, true}, {2000 * time.Millisecond, false},
	} {
		assert.Equal(t, s.due(began.Add(c.at)) != nil, c.due, "%s", c.at)
	}
}

// The pattern: a request is held up by a cut and arrives long after the owner has counted the tasks as dead.
func TestLateRequestProlongsNothing(t *testing.T) {
	s := newScene(t)
	s.now = s.now.Add(10 * time.Second)
	s.send(request(1, 2*time.Second))
	assert.Assert(t, s.due(s.now.Add(silentAfter)) == nil)
}

func TestRequestThatIsOlderOrForAnotherLifeIsNotTaken(t *testing.T) {
	s := newScene(t)
	s.send(request(5, time.Second))
	older := request(4, time.Minute)
	assert.Equal(t, s.send(older).Number, int64(5))
	other := request(6, time.Minute)
	other.Life = life + 1
	assert.Equal(t, s.send(other).Number, int64(5))
	successor := request(1, time.Minute)
	successor.Token = 4
	assert.Equal(t, s.send(successor).Token, int64(4))
}

func TestProlongedLeaseCountsOnTheWorkersClock(t *testing.T) {
	s := newScene(t)
	held := request(1, 2*time.Second)
	s.send(held)
	s.now = s.now.Add(time.Second)
	s.prolong(t.Context(), held.Workers[0], held)
	assert.DeepEqual(t, s.worker.looks, []agent.Look{{Token: 3}, {Token: 3, Deadline: time.Hour + 6*time.Second}})
	s.now = s.now.Add(300 * time.Millisecond)
	assert.DeepEqual(t, s.send(request(2, 4*time.Second)).Prolonged, map[string]time.Duration{"w": 300 * time.Millisecond})
}

// The pattern: the owner speaks again, or its permission ends, between the two calls to a worker.
func TestNothingIsProlongedOnceTheRequestIsReplaced(t *testing.T) {
	s := newScene(t)
	held := request(1, 2*time.Second)
	s.send(held)
	s.send(request(2, 2*time.Second))
	s.prolong(t.Context(), held.Workers[0], held)
	assert.Equal(t, len(s.worker.looks), 1)
	late := request(2, 2*time.Second)
	s.now = s.now.Add(2 * time.Second)
	s.prolong(t.Context(), late.Workers[0], late)
	assert.Equal(t, len(s.worker.looks), 2)
}

func TestIdleWorkerIsLeftAlone(t *testing.T) {
	s := newScene(t)
	s.worker.running = nil
	held := request(1, 2*time.Second)
	s.send(held)
	s.prolong(t.Context(), held.Workers[0], held)
	assert.Equal(t, len(s.worker.looks), 1)
}
