package term

import (
	"context"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/pause"
)

const (
	// yieldPeriod is how long an instance leaves a free key to others after a term in which it could not do an owner's work.
	yieldPeriod = 10 * time.Second
	// yieldDelay is how long it leaves each free key to them. It also limits the time without an owner where no other competes.
	yieldDelay = time.Second
)

// loadError means that the jobs could not be loaded in the time of one turn.
type loadError struct {
	limit time.Duration
	cause error
}

// Error names the limit and why the last attempt failed.
func (e *loadError) Error() string {
	return fmt.Sprintf("the jobs could not be loaded within %s: %v", e.limit, e.cause)
}

// turns counts the terms in a row that ended before the jobs were loaded. Each leaves its turn to another instance, and each
// has twice the time of the one before.
type turns struct {
	// own counts the terms of this instance.
	own int
	// seenToken is the token of the last owner that was seen, seenCount the count in its record, seenAt when it was first seen.
	seenToken int64
	seenCount int
	seenAt    time.Time
	// yieldUntil is until when this instance leaves a free key to others.
	yieldUntil time.Time
}

// ownerSeen takes in the owner's key.
func (u *turns) ownerSeen(token int64, count int, now time.Time) {
	if token != u.seenToken {
		u.seenToken, u.seenCount, u.seenAt = token, count, now
	}
}

// count returns the number of failed terms in a row, as far as this instance knows, while the key is free.
func (u *turns) count(now time.Time) int {
	limit := readTimeout(u.seenCount)
	if lasted := now.Sub(u.seenAt); u.seenToken == 0 || lasted < limit*3/4 || lasted > limit*3/2 {
		return u.own
	}
	return max(u.own, u.seenCount+1)
}

// ended records the end of a term of this instance with its count.
func (u *turns) ended(loaded bool, count int, now time.Time) {
	u.own = 0
	if !loaded {
		u.own = count + 1
		u.yield(now)
	}
}

// yield leaves the next free keys to others.
func (u *turns) yield(now time.Time) { u.yieldUntil = now.Add(yieldPeriod) }

// deferToOthers waits once per free key if another instance should become the owner, and reports whether it has waited.
func (e *Elector) deferToOthers(ctx context.Context) bool {
	delay := time.Duration(0)
	switch {
	case e.Now().Before(e.turns.yieldUntil):
		delay = yieldDelay
	case e.largerPeerUp():
		delay = deferDelay
	}
	e.deferred = !e.deferred && delay > 0
	if e.deferred {
		pause.For(ctx, delay)
	}
	return e.deferred
}
