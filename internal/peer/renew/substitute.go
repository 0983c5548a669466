package renew

import (
	"context"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/sourcegraph/conc"
)

const (
	// silentAfter is how long the owner is silent before its leases are prolonged here: two of its requests.
	silentAfter = 900 * time.Millisecond
	// roundEvery is how often leases are prolonged then: twice within the time that an owner allows.
	roundEvery = 500 * time.Millisecond
	// checkEvery is how often it is asked whether a round is due.
	checkEvery = 100 * time.Millisecond
	// callTimeout bounds one call to a worker of the same data centre, which answers in a millisecond.
	callTimeout = 200 * time.Millisecond
)

// Substitute acts for an owner that has fallen silent.
type Substitute struct {
	Agent agent.Client
	Log   *event.Log
	// Now is a clock that counts the time in which the machine stood still.
	Now func() time.Time
	// Life differs in each life of the instance and is never zero.
	Life int64

	mu    sync.Mutex
	began time.Time
	held  Request
	// heard is when the request that holds came, round when the last round began.
	heard     time.Time
	round     time.Time
	prolonged map[string]time.Time
}

// Allow replaces what may be prolonged, unless the request is older than the one that holds or meant for an earlier life.
func (s *Substitute) Allow(_ context.Context, request *Request) (*Reply, error) {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		s.began = now
	}
	later := request.Token > s.held.Token || request.Token == s.held.Token && request.Number > s.held.Number
	if request.Life == s.Life && later {
		if request.Token != s.held.Token {
			s.prolonged = make(map[string]time.Time)
		}
		s.held, s.heard = *request, now
	}
	reply := &Reply{Life: s.Life, Clock: now.Sub(s.began), Token: s.held.Token, Number: s.held.Number, Prolonged: make(map[string]time.Duration)}
	for id, at := range s.prolonged {
		reply.Prolonged[id] = now.Sub(at)
	}
	return reply, nil
}

// Run prolongs leases whenever that is due, until ctx ends.
func (s *Substitute) Run(ctx context.Context) {
	for pause.For(ctx, checkEvery) {
		if held := s.due(s.Now()); held != nil {
			s.Log.Emit(event.LeasesKept, event.Fields{"workers": len(held.Workers), "token": held.Token, "request": held.Number})
			var calls conc.WaitGroup
			for _, to := range held.Workers {
				calls.Go(func() { s.prolong(ctx, to, held) })
			}
			calls.Wait()
		}
	}
}

// due returns the request on whose behalf a round should begin now, or nil.
func (s *Substitute) due(now time.Time) *Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allows(&s.held, now) || now.Sub(s.heard) < silentAfter || now.Sub(s.round) < roundEvery {
		return nil
	}
	s.round = now
	held := s.held
	return &held
}

// allows reports whether the request still holds. The caller holds the state.
func (s *Substitute) allows(held *Request, now time.Time) bool {
	return len(held.Workers) > 0 && held.Number == s.held.Number && held.Token == s.held.Token && now.Before(s.began.Add(held.Until))
}

// prolong asks the worker for its clock and, if it has tasks, prolongs their lease.
func (s *Substitute) prolong(ctx context.Context, to agent.Target, held *Request) {
	call, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	answer, err := s.Agent.Look(call, to, agent.Look{Token: held.Token})
	if err != nil || len(answer.Running) == 0 {
		return
	}
	if !s.note(to.Worker, held, s.Now()) {
		return
	}
	if _, err = s.Agent.Look(call, to, agent.Look{Token: held.Token, Deadline: answer.Clock + held.Lease}); err != nil {
		s.Log.Emit(event.WorkerSilent, event.Fields{"worker": to.Worker, "error": err.Error()})
	}
}

// note records that the worker's lease is about to be prolonged, or reports that this is no longer allowed.
func (s *Substitute) note(worker string, held *Request, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allows(held, now) {
		return false
	}
	s.prolonged[worker] = now
	return true
}
