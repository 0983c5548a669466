package pool

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// waiter is a request that waits for a slot; ready delivers the server, shed is closed if a higher class displaces it.
type waiter struct {
	class   queue.Class
	order   int
	avoid   *Server
	ready   chan *Server
	shed    chan struct{}
	removed bool
}

// QueueFullError reports that the request was not run because the queue is full.
type QueueFullError struct{ Waiting int }

// Error gives the number of waiting requests.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("not run: %d requests wait already", e.Waiting)
}

// TimeoutError reports that the request was not run because no slot was freed before its deadline.
type TimeoutError struct{}

// Error describes the timeout.
func (e *TimeoutError) Error() string {
	return "not run: no backend server had a free slot before the deadline"
}

// Acquire takes a slot on a server and waits for one until ctx ends; it chooses avoid only if no other server is usable.
func (p *Pool) Acquire(ctx context.Context, class queue.Class, avoid *Server, now time.Time) (*Server, error) {
	p.mu.Lock()
	if s := p.chooseWithFallback(now, avoid); s != nil && p.queued == 0 {
		s.Outstanding++
		p.mu.Unlock()
		return s, nil
	}
	w, err := p.enqueue(class, avoid)
	p.assignSlots(now)
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case s := <-w.ready:
		return s, nil
	case <-w.shed:
		return nil, &QueueFullError{Waiting: p.queueLimit}
	case <-ctx.Done():
		return p.cancelWait(w, now)
	}
}

func (p *Pool) chooseWithFallback(now time.Time, avoid *Server) *Server {
	if s := p.choose(now, avoid); s != nil {
		return s
	}
	if avoid != nil && p.usable(avoid, now) {
		return avoid
	}
	return nil
}

// enqueue adds a waiter; a full queue sheds the newest request of the lowest class, which may be this one.
func (p *Pool) enqueue(class queue.Class, avoid *Server) (*waiter, error) {
	if p.queued >= p.queueLimit {
		last := p.waiters[len(p.waiters)-1]
		if last.class <= class {
			return nil, &QueueFullError{Waiting: p.queued}
		}
		p.remove(last)
		close(last.shed)
	}
	p.lastOrder++
	w := &waiter{class: class, order: p.lastOrder, avoid: avoid, ready: make(chan *Server, 1), shed: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(p.waiters, w, func(a, b *waiter) int {
		if a.class != b.class {
			return int(a.class) - int(b.class)
		}
		return a.order - b.order
	})
	p.waiters = slices.Insert(p.waiters, at, w)
	p.queued++
	return w, nil
}

func (p *Pool) remove(w *waiter) {
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.queued--
	}
	w.removed = true
}

// assignSlots assigns free slots to the waiters in order.
func (p *Pool) assignSlots(now time.Time) {
	for len(p.waiters) > 0 {
		w := p.waiters[0]
		s := p.chooseWithFallback(now, w.avoid)
		if s == nil {
			return
		}
		s.Outstanding++
		p.remove(w)
		w.ready <- s
	}
}

// cancelWait removes a waiter and frees a slot that was assigned to it in the meantime.
func (p *Pool) cancelWait(w *waiter, now time.Time) (*Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.removed {
		select {
		case s := <-w.ready:
			s.Outstanding--
			p.assignSlots(now)
		default:
		}
	}
	p.remove(w)
	return nil, &TimeoutError{}
}

// AssignSlots assigns slots that became free by the passing of time, for example at the end of an ejection.
func (p *Pool) AssignSlots(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assignSlots(now)
}

// Waiting returns the number of requests that wait for a slot.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queued
}
