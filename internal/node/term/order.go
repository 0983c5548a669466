package term

import (
	"context"
	"errors"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/group"
)

const (
	// orderTimeout limits one call with an order; workers usually answer within two milliseconds.
	orderTimeout = 400 * time.Millisecond
	// firstLease is the lease of the first tasks on a worker. If the worker can't be reached, they end soon and can start
	// elsewhere; otherwise the next poll extends the lease.
	firstLease = 2500 * time.Millisecond
	// orderRetryDelay is the delay before an order without an answer is sent again. For stops it doubles with each attempt,
	// up to maxStopRetryDelay, as hundreds of workers may be lost at once while their tasks still count as running.
	orderRetryDelay   = 30 * time.Millisecond
	maxStopRetryDelay = 500 * time.Millisecond
	// maxOrdersPerWorker limits the orders in flight to one worker, each on its own connection. With the connection for
	// polls, a worker takes three of the owner's file descriptors, and eight tasks start within four round trips.
	maxOrdersPerWorker = 2
)

// sendStart sends the start of one task until the worker answers or the start is no longer wanted.
func (t *term) sendStart(ctx context.Context, order group.StartOrder) {
	mayHaveArrived := false
	for ctx.Err() == nil {
		release := t.acquireOrderSlot(ctx, order.Worker)
		to, start, ok := t.prepare(order)
		if !ok {
			release()
			return
		}
		if to.Address == "" {
			release()
			pause.For(ctx, orderRetryDelay)
			continue
		}
		call, done := context.WithTimeout(ctx, orderTimeout)
		sent := t.Now()
		err := t.Agent.Start(call, to, start)
		done()
		release()
		t.checkReplaced(to, err, sent)
		var lost *agent.LostError
		if errors.As(err, &lost) {
			t.suspect(ctx, order.Worker)
			mayHaveArrived = mayHaveArrived || !lost.Unsent
			t.markUnanswered(order.Member, lost)
		}
		if t.applyStartAnswer(order, to, err, mayHaveArrived) {
			t.notify()
			return
		}
		pause.For(ctx, orderRetryDelay)
	}
}

// markUnanswered records that a start may have arrived although it had no response.
func (t *term) markUnanswered(m *group.Member, lost *agent.LostError) {
	if lost.Unsent {
		return
	}
	t.state.Lock()
	m.MarkUnanswered()
	t.state.Unlock()
}

// acquireOrderSlot waits until an order may be sent to the worker; the caller calls the returned function after the order.
func (t *term) acquireOrderSlot(ctx context.Context, worker string) (release func()) {
	t.state.Lock()
	s := t.sessions[worker]
	t.state.Unlock()
	if s == nil {
		return func() {}
	}
	select {
	case <-ctx.Done():
		return func() {}
	case s.orderSlots <- struct{}{}:
		return func() { <-s.orderSlots }
	}
}

// prepare builds the start order as of now. An empty address means that it can't be sent yet, false that it is no longer
// wanted or was withheld because the worker accepts no new tasks.
func (t *term) prepare(order group.StartOrder) (agent.Target, agent.Start, bool) {
	now := t.Now()
	t.state.Lock()
	defer t.state.Unlock()
	if !order.Member.StartWanted() {
		return agent.Target{}, agent.Start{}, false
	}
	w, s := t.engine.Worker(order.Worker), t.sessions[order.Worker]
	if w == nil || s == nil || !t.mayGrant(w.ID) || !t.mayStart(now) {
		return agent.Target{}, agent.Start{}, true
	}
	if t.engine.Closed(w) {
		t.engine.WithdrawStart(order.Member, now)
		t.notify()
		return agent.Target{}, agent.Start{}, false
	}
	if !order.Member.StartFits() {
		// The next decision withdraws the start, unless it was sent before: then the worker's listing shows whether it arrived.
		return agent.Target{}, agent.Start{}, true
	}
	lease := t.leaseDuration()
	if w.NothingStarted() && !order.Member.SuspectedOfCrash() {
		lease = min(lease, firstLease)
	}
	deadline, known := s.deadline(w.Incarnation, now, lease)
	if !known {
		return agent.Target{}, agent.Start{}, true
	}
	t.engine.LeaseRenewed(w.ID, now.Add(worstCaseLease(lease)))
	order.Member.MarkSent()
	return targetOf(w), agent.Start{
		Task: order.Task, Run: order.Run, Payload: order.Payload, Deadline: deadline, Token: t.token, Checkpoint: order.Checkpoint,
	}, true
}

// targetOf returns the target of a call to the worker.
func targetOf(w *group.Worker) agent.Target {
	return agent.Target{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation}
}

// startResults maps a worker's refusal of a start to the result that the engine applies.
var startResults = map[agent.Refusal]group.StartResult{
	agent.OldRun:       group.Outdated,
	agent.PastDeadline: group.Refused,
	agent.NoRoom:       group.NoRoom,
	agent.Unhealthy:    group.Unhealthy,
	agent.Restarted:    group.Refused,
	agent.Invalid:      group.Refused,
}

// startResult returns the result of a start whose last order ended with err; resolved is false if the order must be sent
// again. mayHaveArrived is true if an order without a response may have reached the worker. A start that certainly had no
// effect is abandoned, so that the run can start elsewhere at once.
func startResult(err error, mayHaveArrived bool) (result group.StartResult, resolved bool) {
	var refused *agent.RefusedError
	switch {
	case err == nil:
		return group.Accepted, true
	case !errors.As(err, &refused):
		return group.Unreached, !mayHaveArrived
	case mayHaveArrived && refused.Refusal != agent.Restarted:
		return group.Unconfirmed, true
	default:
		return startResults[refused.Refusal], true
	}
}

// applyStartAnswer applies the answer to a start; it reports false if the order must be sent again.
func (t *term) applyStartAnswer(order group.StartOrder, to agent.Target, err error, mayHaveArrived bool) bool {
	var refused *agent.RefusedError
	if errors.As(err, &refused) && refused.Refusal == agent.OldToken {
		t.end(&fencedError{by: "by worker " + order.Worker})
		return true
	}
	t.Log.Emit(event.StartSent, event.Fields{
		"worker": order.Worker, "task": order.Task, "run": order.Run, "token": t.token, "outcome": startOutcome(err), "mayHaveArrived": mayHaveArrived,
		"born": to.Incarnation,
	})
	t.Meter.Count("worker.starts")
	result, resolved := startResult(err, mayHaveArrived)
	if !resolved {
		return false
	}
	t.state.Lock()
	t.engine.ApplyStartResult(order.Member, result, t.Now())
	t.state.Unlock()
	return true
}

// startOutcome describes the answer to a start in the log.
func startOutcome(err error) string {
	var refused *agent.RefusedError
	switch {
	case err == nil:
		return "started"
	case errors.As(err, &refused):
		return refused.Refusal.String()
	default:
		return err.Error()
	}
}

// requestStop sends a stop in the background until it is acknowledged, unless one for the same task and run is in progress.
func (t *term) requestStop(ctx context.Context, order group.StopOrder) {
	key := stopKey{order.Worker, order.Task, order.Run}
	t.state.Lock()
	inProgress := t.pendingStops[key]
	t.pendingStops[key] = true
	t.state.Unlock()
	if inProgress {
		return
	}
	t.components.Go("stop", func() {
		t.sendStop(ctx, order)
		t.state.Lock()
		delete(t.pendingStops, key)
		t.state.Unlock()
	})
}

func (t *term) sendStop(ctx context.Context, order group.StopOrder) {
	for wait := 2 * orderRetryDelay; ctx.Err() == nil; wait = min(2*wait, maxStopRetryDelay) {
		release := t.acquireOrderSlot(ctx, order.Worker)
		t.state.Lock()
		w := t.engine.Worker(order.Worker)
		wanted := w != nil && w.NeedsStop(order.Task, order.Run)
		var to agent.Target
		if w != nil {
			to = targetOf(w)
		}
		t.state.Unlock()
		if !wanted || to.Address == "" {
			release()
			return
		}
		call, done := context.WithTimeout(ctx, orderTimeout)
		sent := t.Now()
		err := t.Agent.Stop(call, to, agent.Stop{Task: order.Task, Run: order.Run, Token: t.token})
		done()
		release()
		t.checkReplaced(to, err, sent)
		outcome := "acknowledged"
		if err != nil {
			outcome = err.Error()
		}
		t.Log.Emit(event.StopSent, event.Fields{"worker": order.Worker, "task": order.Task, "run": order.Run, "token": t.token, "outcome": outcome, "born": to.Incarnation})
		var refused *agent.RefusedError
		if errors.As(err, &refused) && refused.Refusal == agent.OldToken {
			t.end(&fencedError{by: "by worker " + order.Worker})
			return
		}
		if err == nil {
			t.state.Lock()
			settled := t.engine.StopAcknowledged(order.Worker, to.Incarnation, order.Task, order.Run, t.Now())
			t.state.Unlock()
			if settled {
				return
			}
		}
		pause.For(ctx, wait)
	}
}
