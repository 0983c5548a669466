package term

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// Guards against running out of file descriptors: a burst starts eight tasks on each of a thousand workers, and each order
// in flight takes a descriptor.
func TestOrdersInFlightPerWorkerAreLimited(t *testing.T) {
	term := termWithChanges(0, time.Unix(1000, 0))
	s := &session{orderSlots: make(chan struct{}, maxOrdersPerWorker)}
	term.sessions["w"] = s
	var releases []func()
	for range maxOrdersPerWorker {
		releases = append(releases, term.acquireOrderSlot(t.Context(), "w"))
	}
	over, cancel := context.WithCancel(t.Context())
	cancel()
	term.acquireOrderSlot(over, "w")()
	assert.Equal(t, len(s.orderSlots), maxOrdersPerWorker, "an order that never got a slot releases none")
	releases[0]()
	term.acquireOrderSlot(t.Context(), "w")
	assert.Equal(t, len(s.orderSlots), maxOrdersPerWorker)
	term.acquireOrderSlot(t.Context(), "unknown")()
}

// The response to a start is lost, and its repetition is refused: the run may have ended on the worker in between, or the
// first order may still arrive, so only a worker that has restarted rules both out.
func TestRefusalAfterALostStartIsNotDefinite(t *testing.T) {
	refused := func(refusal agent.Refusal) error { return &agent.RefusedError{Worker: "w", Refusal: refusal} }
	lost := &agent.LostError{Worker: "w"}
	for name, c := range map[string]struct {
		err            error
		mayHaveArrived bool
		want           group.StartResult
		resolved       bool
	}{
		"started":                   {nil, false, group.Accepted, true},
		"started at the second try": {nil, true, group.Accepted, true},
		"never sent":                {lost, false, group.Unreached, true},
		"lost":                      {lost, true, group.Unreached, false},
		"refused":                   {refused(agent.NoRoom), false, group.NoRoom, true},
		"old run":                   {refused(agent.OldRun), false, group.Outdated, true},
		"lost, then old run":        {refused(agent.OldRun), true, group.Unconfirmed, true},
		"lost, then no room":        {refused(agent.NoRoom), true, group.Unconfirmed, true},
		"lost, then past deadline":  {refused(agent.PastDeadline), true, group.Unconfirmed, true},
		"lost, then unhealthy":      {refused(agent.Unhealthy), true, group.Unconfirmed, true},
		"lost, then invalid":        {refused(agent.Invalid), true, group.Unconfirmed, true},
		"lost, then restarted":      {refused(agent.Restarted), true, group.Refused, true},
	} {
		t.Run(name, func(t *testing.T) {
			result, resolved := startResult(c.err, c.mayHaveArrived)
			assert.Equal(t, resolved, c.resolved)
			if resolved {
				assert.Equal(t, result, c.want)
			}
		})
	}
}
