package world

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

// call is one call of a process, to the store or to a worker.
type call struct {
	from *Process
	// worker is the target, or empty for the store, what is read from it, and other instances; peer is such an instance.
	worker string
	peer   string
	name   string
	step   int
	// execute applies the call and sets its result; it returns false if the answer comes later.
	execute func(c *call, now time.Time) bool
	value   any
	err     error
	answer  chan struct{}
	// answered is true once an answer was given, or can't be given any more.
	answered bool
}

var (
	errRefused = errors.New("connection refused")
	errBroken  = errors.New("connection broken")
)

// toStore reports whether the call is for the store or what is read from it.
func (c *call) toStore() bool { return c.worker == "" && c.peer == "" }

// lost is the error of a call without an answer; unsent means that it certainly had no effect.
func (c *call) lost(cause error, unsent bool) error {
	switch {
	case c.worker != "":
		return &agent.LostError{Worker: c.worker, Cause: cause, Unsent: unsent}
	case unsent:
		return &store.UnavailableError{Cause: cause.Error()}
	default:
		return &store.LostError{Cause: cause.Error()}
	}
}

// set sets the result of the call, unless it has been answered.
func (c *call) set(value any, err error) {
	if !c.answered {
		c.value, c.err = value, err
	}
}

// ask makes a call and waits for its answer.
func ask[T any](ctx context.Context, p *Process, worker, name string, execute func(c *call, now time.Time) bool) (T, error) {
	var none T
	c, err := p.do(ctx, worker, name, execute)
	if err != nil {
		return none, err
	}
	return c.value.(T), nil
}

// do makes a call and waits for its answer.
func (p *Process) do(ctx context.Context, worker, name string, execute func(c *call, now time.Time) bool) (*call, error) {
	return p.make(ctx, &call{from: p, worker: worker, name: name, execute: execute, answer: make(chan struct{})})
}

// make lets the call arrive and waits for its answer.
func (p *Process) make(ctx context.Context, c *call) (*call, error) {
	w := p.world
	w.mu.Lock()
	w.arrived = append(w.arrived, c)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-c.answer:
		return c, c.err
	case <-ctx.Done():
		return nil, c.lost(ctx.Err(), false)
	}
}

// admitArrived takes the calls that have arrived, in a fixed order, and reports whether there were any.
func (w *World) admitArrived(now time.Time) bool {
	w.mu.Lock()
	calls := w.arrived
	w.arrived = nil
	w.mu.Unlock()
	slices.SortStableFunc(calls, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.from.name, b.from.name), cmp.Compare(a.name, b.name))
	})
	for _, c := range calls {
		w.admit(c, now)
	}
	return len(calls) > 0
}

// Delays of the network. Each call has delays of its own, so that no two effects happen at one instant.
const (
	baseDelay   = 300 * time.Microsecond
	delaySpread = 100_003
	delayFactor = 7919
)

// delay is the time that one way of the call of that step takes.
func delay(step, way int) time.Duration {
	return baseDelay + time.Duration((2*step+way)*delayFactor%delaySpread)
}

// admit gives a call its number and lets it arrive, as far as the faults allow.
func (w *World) admit(c *call, now time.Time) {
	p := c.from
	if p.dead {
		return
	}
	c.step = len(w.steps)
	w.steps = append(w.steps, Step{At: now.Sub(w.began), Process: p.name, Owner: p.owns() || p.acquiring(c.name), Name: c.name, State: w.stateHash(p)})
	fault := w.cfg.Faults[c.step]
	if fault != NoFault {
		w.notef("step %d, %s: fault %s", c.step, c.name, fault)
		w.begin(fault, p, now)
	}
	w.send(c, fault, now)
}

// acquiring reports whether the call is part of becoming the owner.
func (p *Process) acquiring(name string) bool { return name == "grant" || name == acquireName }

// send lets the call be executed.
func (w *World) send(c *call, fault Fault, now time.Time) {
	p := c.from
	switch {
	case p.dead && fault != KilledAfter && fault != KilledLate || p.cutFrom(c) || w.isolated(c, now):
		// Nothing arrives, and no answer comes.
	case c.toStore() && now.Before(w.storeAwayUntil):
		c.set(nil, c.lost(errRefused, true))
		w.schedule(now.Add(delay(c.step, 0)), func(time.Time) { c.respond() })
	case now.Before(p.heldUntil):
		w.schedule(p.heldUntil.Add(delay(c.step, 0)), func(now time.Time) { w.send(c, fault, now) })
	case fault == Refused:
		c.set(nil, c.lost(errRefused, true))
		w.schedule(now.Add(delay(c.step, 0)), func(time.Time) { c.respond() })
	case fault == Late || fault == KilledLate:
		incarnation := w.incarnationOf(c)
		w.schedule(now.Add(lateDelay), func(now time.Time) {
			if incarnation == w.incarnationOf(c) {
				w.notef("late: step %d, %s", c.step, c.name)
				c.answered = true
				c.execute(c, now)
			}
		})
	default:
		w.schedule(now.Add(delay(c.step, 0)), func(now time.Time) { w.deliver(c, fault, now) })
	}
}

// deliver executes the call.
func (w *World) deliver(c *call, fault Fault, now time.Time) {
	switch {
	case c.from.cutFrom(c) && fault != KilledAfter:
		return
	case c.worker != "" && w.incarnationOf(c) == 0:
		c.set(nil, c.lost(errRefused, true))
		c.respond()
		return
	case fault == Unanswered:
		c.set(nil, c.lost(errBroken, false))
		c.respond()
		c.execute(c, now)
		return
	}
	if fault == RestartedBefore {
		w.restart(c, now)
	}
	if c.execute(c, now) {
		w.answer(c, now)
	}
	if fault == RestartedAfter {
		w.restart(c, now)
	}
}

// answer lets the answer travel back.
func (w *World) answer(c *call, now time.Time) {
	answered := later(now, c.from.heldUntil).Add(delay(c.step, 1))
	if c.peer != "" {
		answered = answered.Add(w.cfg.PeerDelay)
	}
	w.schedule(answered, func(now time.Time) {
		if !c.from.dead && !c.from.cutFrom(c) && !w.isolated(c, now) {
			c.respond()
		}
	})
}

// isolated reports whether the call is for a worker that no call reaches.
func (w *World) isolated(c *call, now time.Time) bool {
	return c.worker != "" && w.byID[c.worker] != nil && now.Before(w.byID[c.worker].isolatedUntil)
}

// respond gives the answer to the caller; only the first one counts.
func (c *call) respond() {
	if !c.answered {
		c.answered = true
		close(c.answer)
	}
}

// incarnationOf returns the incarnation of the call's worker, zero if that is down, or one for the store.
func (w *World) incarnationOf(c *call) int64 {
	if c.worker == "" {
		return 1
	}
	one := w.byID[c.worker]
	if one == nil || !one.up {
		return 0
	}
	return one.incarnation
}

// stateHash identifies what the store and the workers hold as the process makes a call, without times and revisions.
func (w *World) stateHash(p *Process) uint64 {
	h := fnv.New64a()
	fmt.Fprintln(h, p.name, p.owns())
	for _, line := range w.checks.records() {
		fmt.Fprintln(h, line)
	}
	for _, one := range w.workers {
		fmt.Fprintln(h, one.state())
	}
	return h.Sum64()
}
