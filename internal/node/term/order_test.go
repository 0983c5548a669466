package term

import (
	"context"
	"testing"
	"time"

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
