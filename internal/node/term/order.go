package term

import (
	"context"
	"errors"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/sets"
)

const (
	// orderTimeout bounds one order; workers answer in a millisecond or two.
	orderTimeout = 400 * time.Millisecond
	// firstLease is the lease of the first tasks on a worker: if it can't be reached they end soon, so that they can start
	// elsewhere, and if it can the next look makes it longer.
	firstLease = 2500 * time.Millisecond
	// orderPause is the wait before an order without an answer is sent again. For stops it doubles up to stopPauseMost, as
	// hundreds of workers may be gone at once while what ran on them still counts.
	orderPause    = 30 * time.Millisecond
	stopPauseMost = 500 * time.Millisecond
	// ordersMost is how many orders are on their way to one worker at a time, each on a channel of its own: with its look a
	// worker takes three of the owner's descriptors, and eight tasks start within four answers.
	ordersMost = 2
)

// start sends the start of one task until it has an answer or is no longer wanted.
func (t *term) start(ctx context.Context, order sets.StartOrder) {
	mayBeSent := false
	for ctx.Err() == nil {
		release := t.turnAt(ctx, order.Worker)
		to, start, ok := t.prepare(order)
		if !ok {
			release()
			return
		}
		if to.Address == "" {
			release()
			pause.For(ctx, orderPause)
			continue
		}
		call, done := context.WithTimeout(ctx, orderTimeout)
		err := t.Agent.Start(call, to, start)
		done()
		release()
		var lost *agent.LostError
		if errors.As(err, &lost) {
			t.doubt(ctx, order.Worker)
			mayBeSent = mayBeSent || !lost.Unsent
		}
		if t.startAnswered(order, err, mayBeSent) {
			t.wake()
			return
		}
		pause.For(ctx, orderPause)
	}
}

// turnAt waits until an order may leave for the worker; the returned function must follow the order's end.
func (t *term) turnAt(ctx context.Context, worker string) (release func()) {
	t.state.Lock()
	s := t.sessions[worker]
	t.state.Unlock()
	if s == nil {
		return func() {}
	}
	select {
	case <-ctx.Done():
		return func() {}
	case s.orders <- struct{}{}:
		return func() { <-s.orders }
	}
}

// prepare fills in the order as of now; an empty address means that nothing may be sent yet.
func (t *term) prepare(order sets.StartOrder) (agent.Target, agent.Start, bool) {
	now := t.Now()
	t.state.Lock()
	defer t.state.Unlock()
	if !order.Member.Wanted() {
		return agent.Target{}, agent.Start{}, false
	}
	w, s := t.engine.Worker(order.Worker), t.sessions[order.Worker]
	if w == nil || s == nil || !t.mayStart(now) {
		return agent.Target{}, agent.Start{}, true
	}
	if t.engine.Closed(w) {
		t.engine.Withhold(order.Member, now)
		t.wake()
		return agent.Target{}, agent.Start{}, false
	}
	lease := t.Bounds.MaxHold
	if w.Fresh() {
		lease = min(lease, firstLease)
	}
	deadline, known := s.deadline(now, lease)
	if !known {
		return agent.Target{}, agent.Start{}, true
	}
	t.engine.Renewed(w.ID, now.Add(stretch(lease)))
	order.Member.Sent()
	return agent.Target{Worker: w.ID, Address: w.Address}, agent.Start{
		Task: order.Task, Run: order.Run, Payload: order.Payload, Deadline: deadline, Token: t.token, Saved: order.Saved,
	}, true
}

// results maps a worker's refusal of a start to what it means for the placement.
var results = map[agent.Refusal]sets.StartResult{
	agent.OldRun:       sets.Outdated,
	agent.PastDeadline: sets.Refused,
	agent.NoRoom:       sets.NoRoom,
	agent.Unhealthy:    sets.Unhealthy,
	agent.OtherLife:    sets.Refused,
	agent.Invalid:      sets.Refused,
}

// startAnswered takes in the answer; it reports false if there was none, so that the order must be sent again. An order
// that certainly never left is given up, so that the run can start elsewhere at once.
func (t *term) startAnswered(order sets.StartOrder, err error, mayBeSent bool) bool {
	result := sets.Accepted
	outcome := "started"
	var refused *agent.RefusedError
	switch {
	case err == nil:
	case errors.As(err, &refused) && refused.Refusal == agent.OldToken:
		t.end(&fencedError{by: "by worker " + order.Worker})
		return true
	case errors.As(err, &refused):
		result = results[refused.Refusal]
		outcome = refused.Refusal.String()
	default:
		outcome = err.Error()
	}
	t.Log.Emit(event.StartSent, event.Fields{"worker": order.Worker, "task": order.Task, "run": order.Run, "token": t.token, "outcome": outcome})
	t.Meter.Count("worker.starts")
	if err != nil && refused == nil {
		if mayBeSent {
			return false
		}
		result = sets.Unreached
	}
	t.state.Lock()
	t.engine.StartAnswered(order.Member, result, t.Now())
	t.state.Unlock()
	return true
}

// stop sends a stop until it is acknowledged; a second order for the same run is left out while one is on its way.
func (t *term) stop(ctx context.Context, order sets.StopOrder) {
	key := stopKey{order.Worker, order.Task, order.Run}
	t.state.Lock()
	known := t.stops[key]
	t.stops[key] = true
	t.state.Unlock()
	if known {
		return
	}
	t.parts.Go("stop", func() {
		t.sendStop(ctx, order)
		t.state.Lock()
		delete(t.stops, key)
		t.state.Unlock()
	})
}

func (t *term) sendStop(ctx context.Context, order sets.StopOrder) {
	for wait := 2 * orderPause; ctx.Err() == nil; wait = min(2*wait, stopPauseMost) {
		release := t.turnAt(ctx, order.Worker)
		t.state.Lock()
		w := t.engine.Worker(order.Worker)
		wanted := w != nil && w.NeedsStop(order.Task, order.Run)
		to := agent.Target{Worker: order.Worker}
		if w != nil {
			to.Address = w.Address
		}
		t.state.Unlock()
		if !wanted || to.Address == "" {
			release()
			return
		}
		call, done := context.WithTimeout(ctx, orderTimeout)
		err := t.Agent.Stop(call, to, agent.Stop{Task: order.Task, Run: order.Run, Token: t.token})
		done()
		release()
		outcome := "acknowledged"
		if err != nil {
			outcome = err.Error()
		}
		t.Log.Emit(event.StopSent, event.Fields{"worker": order.Worker, "task": order.Task, "run": order.Run, "token": t.token, "outcome": outcome})
		var refused *agent.RefusedError
		if errors.As(err, &refused) && refused.Refusal == agent.OldToken {
			t.end(&fencedError{by: "by worker " + order.Worker})
			return
		}
		if err == nil {
			t.state.Lock()
			t.engine.StopAnswered(order.Worker, order.Task, order.Run, t.Now())
			t.state.Unlock()
			return
		}
		pause.For(ctx, wait)
	}
}
