package fake

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
)

// Network describes what happens to the calls to a Fleet and to their answers. The shares lie between 0 and 1.
type Network struct {
	// Delay is the longest usual delay in each direction, SlowDelay that of the share Slow.
	Delay     time.Duration
	SlowDelay time.Duration
	Slow      float64
	// LostCalls have no effect, LostAnswers have one.
	LostCalls   float64
	LostAnswers float64
	// LateCalls are executed after up to LateDelay and have no answer before.
	LateCalls float64
	LateDelay time.Duration
	// LateAfterRestart lets a later incarnation execute a call that was sent to an earlier one.
	LateAfterRestart bool
}

// SetNetwork replaces the network's behaviour for calls from now on.
func (f *Fleet) SetNetwork(network Network) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.network = network
}

// CutOff loses all calls to the worker for the given time; what runs there goes on until the lease expires.
func (f *Fleet) CutOff(id string, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note("%s is cut off for %s", id, length)
	f.workers[id].cutUntil = time.Now().Add(length)
}

// delay draws the delay of one direction.
func (n *Network) delay(random *rand.Rand) time.Duration {
	if random.Float64() < n.Slow {
		return below(random, n.SlowDelay)
	}
	return below(random, n.Delay)
}

// below draws a duration below the limit; it is zero if the limit is.
func below(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(max(int64(limit), 1)))
}

// route is what happens to one call.
type route struct {
	there, back time.Duration
	// callLost and answerLost mean that the call is not executed, or that its caller never learns of it.
	callLost, answerLost bool
}

// route draws what happens to one call.
func (n *Network) route(random *rand.Rand) route {
	r := route{there: n.delay(random), back: n.delay(random)}
	chance := random.Float64()
	switch {
	case chance < n.LostCalls:
		r.callLost = true
	case chance < n.LostCalls+n.LostAnswers:
		r.answerLost = true
	case chance < n.LostCalls+n.LostAnswers+n.LateCalls:
		r.there = below(random, n.LateDelay)
	}
	return r
}

func lost(worker string, cause error) error { return &agent.LostError{Worker: worker, Cause: cause} }

// send lets the worker's present incarnation execute the call with f.mu held, and returns the answer.
func (f *Fleet) send(ctx context.Context, worker, call string, execute func(at *incarnation) error) error {
	f.mu.Lock()
	w := f.workers[worker]
	target, r := w.current, f.network.route(w.rand)
	r.callLost = r.callLost || time.Now().Before(w.cutUntil)
	f.mu.Unlock()
	if target == nil {
		return &agent.LostError{Worker: worker, Cause: errDown, Unsent: true}
	}
	answer := make(chan error, 1)
	if !r.callLost {
		time.AfterFunc(r.there, func() {
			if executed, err := f.deliver(w, target, call, execute); executed && !r.answerLost {
				time.AfterFunc(r.back, func() { answer <- err })
			}
		})
	}
	select {
	case <-ctx.Done():
		return lost(worker, ctx.Err())
	case <-target.crashed:
		return lost(worker, errDown)
	case err := <-answer:
		return err
	}
}

// deliver executes a call that was sent to the target, if the network brings it to the present incarnation.
func (f *Fleet) deliver(w *fleetWorker, target *incarnation, call string, execute func(at *incarnation) error) (executed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := w.current
	if at == nil || at != target && !f.network.LateAfterRestart {
		return false, nil
	}
	if at != target {
		f.note("%s/%d gets %s of %d", w.id, at.number, call, target.number)
	}
	return true, execute(at)
}

// awaitAnswer waits for an answer that takes the given time.
func (f *Fleet) awaitAnswer(ctx context.Context, at *incarnation, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return lost(at.worker.id, ctx.Err())
	case <-at.crashed:
		return lost(at.worker.id, errDown)
	case <-timer.C:
		return nil
	}
}
