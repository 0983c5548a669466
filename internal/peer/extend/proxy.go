package extend

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
	// ownerSilentAfter is the time without a request after which the owner counts as silent: two intervals of its requests.
	ownerSilentAfter = 900 * time.Millisecond
	// extendEvery is the interval between extensions while the owner is silent: two fit into the time that an owner allows.
	extendEvery = 500 * time.Millisecond
	// checkEvery is the interval between checks whether an extension is due.
	checkEvery = 100 * time.Millisecond
	// callTimeout limits the calls to one worker of the same data centre, which usually responds within 1 ms.
	callTimeout = 200 * time.Millisecond
)

// Proxy is the lease proxy: it extends workers' leases while the owner is silent.
type Proxy struct {
	Agent agent.Client
	Log   *event.Log
	// Now is a clock that also advances while the machine is suspended.
	Now func() time.Time
	// Incarnation is the incarnation of this instance: it differs after each restart and is never zero.
	Incarnation int64

	mu         sync.Mutex
	clockStart time.Time
	active     Request
	// receivedAt is when the active request arrived, lastRound when leases were last extended.
	receivedAt time.Time
	lastRound  time.Time
	extendedAt map[string]time.Time
}

// Allow replaces the active request, unless the new one is older or meant for another incarnation of this instance.
func (p *Proxy) Allow(_ context.Context, request *Request) (*Reply, error) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clockStart.IsZero() {
		p.clockStart = now
	}
	newer := request.Token > p.active.Token || request.Token == p.active.Token && request.Number > p.active.Number
	if request.Life == p.Incarnation && newer {
		if request.Token != p.active.Token {
			p.extendedAt = make(map[string]time.Time)
		}
		p.active, p.receivedAt = *request, now
	}
	reply := &Reply{Life: p.Incarnation, Clock: now.Sub(p.clockStart), Token: p.active.Token, Number: p.active.Number, Prolonged: make(map[string]time.Duration)}
	for id, at := range p.extendedAt {
		reply.Prolonged[id] = now.Sub(at)
	}
	return reply, nil
}

// Run extends leases whenever that is due, until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	for pause.For(ctx, checkEvery) {
		if request := p.due(p.Now()); request != nil {
			p.Log.Emit(event.LeasesKept, event.Fields{"workers": len(request.Workers), "token": request.Token, "request": request.Number})
			var calls conc.WaitGroup
			for _, target := range request.Workers {
				calls.Go(func() { p.extend(ctx, target, request) })
			}
			calls.Wait()
		}
	}
}

// due returns the request for which leases should be extended now, or nil.
func (p *Proxy) due(now time.Time) *Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isActive(&p.active, now) || now.Sub(p.receivedAt) < ownerSilentAfter || now.Sub(p.lastRound) < extendEvery {
		return nil
	}
	p.lastRound = now
	request := p.active
	return &request
}

// isActive reports whether the request is still the active one and has not expired. The caller must hold the lock.
func (p *Proxy) isActive(request *Request, now time.Time) bool {
	return len(request.Workers) > 0 && request.Number == p.active.Number && request.Token == p.active.Token && now.Before(p.clockStart.Add(request.Until))
}

// extend asks the worker for its clock and, if it runs tasks, extends their lease.
func (p *Proxy) extend(ctx context.Context, target agent.Target, request *Request) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := p.Agent.Poll(callCtx, target, agent.Poll{Token: request.Token})
	if err != nil || len(answer.Running) == 0 {
		return
	}
	if !p.recordExtension(target.Worker, request, p.Now()) {
		return
	}
	if _, err = p.Agent.Poll(callCtx, target, agent.Poll{Token: request.Token, Deadline: answer.Clock + request.Lease}); err != nil {
		p.Log.Emit(event.WorkerSilent, event.Fields{"worker": target.Worker, "error": err.Error()})
	}
}

// recordExtension records that the worker's lease is about to be extended; it returns false if that is no longer allowed.
func (p *Proxy) recordExtension(worker string, request *Request, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isActive(request, now) {
		return false
	}
	p.extendedAt[worker] = now
	return true
}
