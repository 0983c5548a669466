package term

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The pattern: a burst starts eight tasks on each of a thousand workers, and each order on its way takes a descriptor.
func TestFewOrdersAreOnTheirWayToAWorkerAtATime(t *testing.T) {
	term := changing(0, time.Unix(1000, 0))
	s := &session{orders: make(chan struct{}, ordersMost)}
	term.sessions["w"] = s
	var releases []func()
	for range ordersMost {
		releases = append(releases, term.turnAt(t.Context(), "w"))
	}
	over, cancel := context.WithCancel(t.Context())
	cancel()
	term.turnAt(over, "w")()
	assert.Equal(t, len(s.orders), ordersMost, "an order that never had its turn gives none back")
	releases[0]()
	term.turnAt(t.Context(), "w")
	assert.Equal(t, len(s.orders), ordersMost)
	term.turnAt(t.Context(), "unknown")()
}
