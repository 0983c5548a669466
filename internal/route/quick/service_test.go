package quick_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/back"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/claim"
	"github.com/lentildeck/lentildeck/internal/route/pool"
	"github.com/lentildeck/lentildeck/internal/route/quick"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

var (
	ctx = context.Background()
	ids atomic.Int64
)

// testSetup holds a few fake backend servers and one fake key-value store.
type testSetup struct {
	t        *testing.T
	kv       *fake.KV
	backends []*fake.Backend
}

func newTestSetup(t *testing.T, count int) *testSetup {
	t.Helper()
	s := &testSetup{t: t, kv: fake.NewKV(time.Now)}
	for n := range count {
		b, err := fake.NewBackend(fmt.Sprint("runner-", n), "127.0.0.1:0", time.Now)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = b.Close() })
		s.backends = append(s.backends, b)
	}
	return s
}

// newInstance returns the service, pool and backend client of one entry instance.
func (s *testSetup) newInstance(name string, queueLimit int) (*quick.Service, *pool.Pool, *back.HTTP) {
	p := pool.New("plovdiv", pool.Limits{Slots: 2, Connections: 4}, queueLimit, 1)
	s.listServers(p)
	client := store.NewClient(s.kv, store.NewBudget(1e6, 1e6), time.Now, func() string { return fmt.Sprint(name, ids.Add(1)) })
	claims := claim.New(client, name, time.Now, func(int) {})
	s.t.Cleanup(claims.Close)
	caller := back.NewHTTP(4)
	return quick.New(p, caller, claims, event.Discard(), time.Now), p, caller
}

func (s *testSetup) listServers(p *pool.Pool) {
	var members []pool.Backend
	for _, b := range s.backends {
		members = append(members, pool.Backend{Name: b.Name, DataCentre: "plovdiv", Address: b.Address()})
	}
	p.SetBackends(members, time.Now())
}

func (s *testSetup) setBehaviour(m fake.Behaviour) {
	for _, b := range s.backends {
		b.SetBehaviour(m)
	}
}

func (s *testSetup) runs(id string) int {
	n := 0
	for _, b := range s.backends {
		n += b.Runs(id)
	}
	return n
}

func request(id string, idempotent bool) quick.Request {
	return quick.Request{
		ID: id, Key: id, Path: "/price", Body: []byte("dumplings"), ContentType: "text/plain", Idempotent: idempotent, AttemptTimeout: 400 * time.Millisecond,
	}
}

func serve(s *quick.Service, r quick.Request) (back.Answer, error) {
	limit, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	return s.Serve(limit, r)
}

// TestRefusalsAreTrue checks for each way in which a server fails that a request reported as not run did not run, and that
// no request runs more often than allowed.
func TestRefusalsAreTrue(t *testing.T) {
	for _, row := range []struct {
		name       string
		behaviour  fake.Behaviour
		idempotent bool
		notRun     bool
		maxRuns    int
	}{
		{"refusing", fake.Behaviour{Refuse: true}, true, true, 0},
		{"refusing, not idempotent", fake.Behaviour{Refuse: true}, false, true, 0},
		{"leaving", fake.Behaviour{Leaving: true}, false, true, 0},
		{"dropping", fake.Behaviour{CloseWithoutResponse: true}, true, false, 3},
		{"dropping, not idempotent", fake.Behaviour{CloseWithoutResponse: true}, false, false, 1},
		{"crossing answers", fake.Behaviour{WrongRequestID: true}, true, false, 3},
		{"crossing answers, not idempotent", fake.Behaviour{WrongRequestID: true}, false, false, 1},
		{"cutting answers", fake.Behaviour{TruncateBody: true}, true, false, 3},
		{"cutting answers, not idempotent", fake.Behaviour{TruncateBody: true}, false, false, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newTestSetup(t, 3)
			service, _, _ := s.newInstance("a", 8)
			s.setBehaviour(row.behaviour)
			_, err := serve(service, request("r", row.idempotent))
			var notRun *quick.NotRunError
			assert.Equal(t, errors.As(err, &notRun), row.notRun, "%v", err)
			assert.Equal(t, err != nil, true)
			assert.Equal(t, s.runs("r") <= row.maxRuns, true, "ran %d times", s.runs("r"))
			if row.notRun {
				assert.Equal(t, s.runs("r"), 0)
			}
		})
	}
}

func TestDeadServersAreRoutedAround(t *testing.T) {
	s := newTestSetup(t, 4)
	service, _, _ := s.newInstance("a", 8)
	assert.NilError(t, s.backends[0].Close())
	for n := range 40 {
		id := fmt.Sprint("r", n)
		answer, err := serve(service, request(id, n%2 == 0))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "answer to "+id+": dumplings")
	}
}

func TestNonIdempotentRunsOnceOverAllInstances(t *testing.T) {
	s := newTestSetup(t, 3)
	first, _, _ := s.newInstance("a", 8)
	second, _, _ := s.newInstance("b", 8)
	answer, err := serve(first, request("count", false))
	assert.NilError(t, err)
	repeat, err := serve(second, request("count", false))
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Body, repeat.Body)
	assert.Equal(t, s.runs("count"), 1)
}

func TestRepeatAfterALostAnswerIsUnknownAndDoesNotRun(t *testing.T) {
	s := newTestSetup(t, 3)
	first, _, _ := s.newInstance("a", 8)
	second, _, _ := s.newInstance("b", 8)
	s.setBehaviour(fake.Behaviour{CloseWithoutResponse: true})
	_, err := serve(first, request("count", false))
	var unknown *quick.UnknownError
	assert.Equal(t, errors.As(err, &unknown), true)
	s.setBehaviour(fake.Behaviour{})
	_, err = serve(second, request("count", false))
	assert.Equal(t, errors.As(err, &unknown), true)
	assert.Equal(t, s.runs("count"), 1)
}

func TestOutageOfTheStoreRefusesOnlyWhatNeedsAClaim(t *testing.T) {
	s := newTestSetup(t, 3)
	service, _, _ := s.newInstance("a", 8)
	s.kv.SetFault(fake.Fault{Down: true})
	_, err := serve(service, request("price", true))
	assert.NilError(t, err)
	_, err = serve(service, request("count", false))
	var notRun *quick.NotRunError
	assert.Equal(t, errors.As(err, &notRun), true)
	assert.Equal(t, s.runs("count"), 0)
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	s := newTestSetup(t, 1)
	service, _, caller := s.newInstance("a", 8)
	_, err := serve(service, request("warm", true))
	assert.NilError(t, err)
	s.setBehaviour(fake.Behaviour{HangOpenConnections: true})
	limit, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, err = caller.Ping(limit, s.backends[0].Address())
	assert.Equal(t, err != nil, true, "a ping over the open connection times out")
	caller.Reset(s.backends[0].Address())
	answer, err := serve(service, request("after", true))
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "answer to after: dumplings")
}

func TestLeavingServerGetsNoNewWorkThoughTheListLags(t *testing.T) {
	s := newTestSetup(t, 2)
	service, p, _ := s.newInstance("a", 8)
	s.backends[0].SetBehaviour(fake.Behaviour{Leaving: true})
	p.RecordResult(s.backends[0].Name, pool.Leaving, time.Now())
	s.listServers(p)
	before := s.backends[0].TotalRuns()
	for n := range 20 {
		_, err := serve(service, request(fmt.Sprint("r", n), true))
		assert.NilError(t, err)
	}
	assert.Equal(t, s.backends[0].TotalRuns(), before)
}

func TestFullQueueShedsTheNewestOfTheLowestClass(t *testing.T) {
	p := pool.New("plovdiv", pool.Limits{Slots: 1, Connections: 1}, 2, 1)
	now := time.Unix(1000, 0)
	p.SetBackends([]pool.Backend{{Name: "s", DataCentre: "plovdiv", Address: "x"}}, now)
	held, err := p.Acquire(ctx, queue.Batch, nil, now)
	assert.NilError(t, err)
	results := make(chan error, 4)
	wait := func(class queue.Class, waiting int) {
		go func() {
			_, err := p.Acquire(ctx, class, nil, now)
			results <- err
		}()
		for p.Waiting() < waiting {
			time.Sleep(time.Millisecond)
		}
	}
	wait(queue.Batch, 1)
	wait(queue.Batch, 2)
	go func() {
		_, err := p.Acquire(ctx, queue.Quick, nil, now)
		results <- err
	}()
	var full *pool.QueueFullError
	assert.Equal(t, errors.As(<-results, &full), true, "the second batch request is shed")
	_, err = p.Acquire(ctx, queue.Batch, nil, now)
	assert.Equal(t, errors.As(err, &full), true, "a new request of the lowest class is refused")
	p.Release(held, pool.Answered, now)
	assert.NilError(t, <-results)
}

func TestEjectionIsCapped(t *testing.T) {
	p := pool.New("plovdiv", pool.Limits{Slots: 1, Connections: 1}, 2, 1)
	now := time.Unix(1000, 0)
	var members []pool.Backend
	for n := range 4 {
		members = append(members, pool.Backend{Name: fmt.Sprint(n), DataCentre: "plovdiv", Address: fmt.Sprint(n)})
	}
	p.SetBackends(members, now)
	for range 10 {
		for n := range 4 {
			p.RecordResult(fmt.Sprint(n), pool.Lost, now)
		}
	}
	usable := 0
	for range 4 {
		limit, cancel := context.WithCancel(ctx)
		cancel()
		if _, err := p.Acquire(limit, queue.Quick, nil, now); err == nil {
			usable++
		}
	}
	assert.Equal(t, usable, 2, "at most half of the servers are ejected")
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := quick.NewRetryBudget()
	spent := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw() {
			spent++
		}
	}
	assert.Equal(t, spent <= 220, true, "%d retries for 1000 requests", spent)
}
