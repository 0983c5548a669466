package pool

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// waiter is a request that waits for a slot.
type waiter struct {
	class  queue.Class
	order  int
	avoid  *Server
	ready  chan *Server
	shed   chan struct{}
	closed bool
}

// FullError says that the request was not run because too many wait already.
type FullError struct{ Waiting int }

// Error says how many wait.
func (e *FullError) Error() string {
	return fmt.Sprintf("not run: %d requests wait already", e.Waiting)
}

// TimeoutError says that the request was not run because no slot came free in time.
type TimeoutError struct{}

// Error says so.
func (e *TimeoutError) Error() string {
	return "not run: no backend server had a free slot before the deadline"
}

// Acquire takes a slot on a server, waiting until ctx ends if none is free; avoid is not chosen while another is usable.
func (p *Pool) Acquire(ctx context.Context, class queue.Class, avoid *Server, now time.Time) (*Server, error) {
	p.mu.Lock()
	if s := p.pick(now, avoid); s != nil && p.queued == 0 {
		s.Outstanding++
		p.mu.Unlock()
		return s, nil
	}
	w, err := p.enqueue(class, avoid)
	p.serve(now)
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case s := <-w.ready:
		return s, nil
	case <-w.shed:
		return nil, &FullError{Waiting: p.cap}
	case <-ctx.Done():
		return p.leave(w, now)
	}
}

func (p *Pool) pick(now time.Time, avoid *Server) *Server {
	if s := p.choose(now, avoid); s != nil {
		return s
	}
	if avoid != nil && p.usable(avoid, now) {
		return avoid
	}
	return nil
}

// enqueue adds a waiter; a full queue sheds the newest of the lowest class, which may be the newcomer.
func (p *Pool) enqueue(class queue.Class, avoid *Server) (*waiter, error) {
	if p.queued >= p.cap {
		last := p.waiters[len(p.waiters)-1]
		if last.class <= class {
			return nil, &FullError{Waiting: p.queued}
		}
		p.remove(last)
		close(last.shed)
	}
	p.next++
	w := &waiter{class: class, order: p.next, avoid: avoid, ready: make(chan *Server, 1), shed: make(chan struct{})}
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
	w.closed = true
}

// serve hands free slots to waiters in order.
func (p *Pool) serve(now time.Time) {
	for len(p.waiters) > 0 {
		w := p.waiters[0]
		s := p.pick(now, w.avoid)
		if s == nil {
			return
		}
		s.Outstanding++
		p.remove(w)
		w.ready <- s
	}
}

// leave takes a waiter out; a slot that was handed over meanwhile goes back.
func (p *Pool) leave(w *waiter, now time.Time) (*Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.closed {
		select {
		case s := <-w.ready:
			s.Outstanding--
			p.serve(now)
		default:
		}
	}
	p.remove(w)
	return nil, &TimeoutError{}
}

// Serve lets waiters have slots that time alone has freed, as when an ejection ends.
func (p *Pool) Serve(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serve(now)
}

// Waiting returns how many requests wait for a slot.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queued
}
