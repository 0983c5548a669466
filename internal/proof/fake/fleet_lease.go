package fake

import (
	"maps"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
)

// clock is the reading of the incarnation's own clock.
func (at *incarnation) clock(now time.Time) time.Duration {
	return at.clockStart + time.Duration(float64(now.Sub(at.began))*at.clockRate)
}

// extendLease extends the lease up to the deadline, which is on the incarnation's clock, and by no more than the longest
// lease. The caller holds f.mu.
func (f *Fleet) extendLease(at *incarnation, deadline time.Duration) {
	now := at.clock(time.Now())
	deadline = min(deadline, now+f.cfg.MaxLease)
	if deadline <= max(now, at.leaseEnds) {
		return
	}
	at.leaseEnds = deadline
	wait := time.Duration(float64(deadline-now)/at.clockRate) + time.Microsecond
	time.AfterFunc(wait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endLapsed(at)
	})
}

// endLapsed ends all that runs if the lease has expired. The caller holds f.mu.
func (f *Fleet) endLapsed(at *incarnation) {
	if at.worker.current != at || at.clock(time.Now()) < at.leaseEnds {
		return
	}
	f.checks.lapsed(at)
	f.note("%s/%d: the lease expires", at.worker.id, at.number)
	for _, run := range slices.Collect(maps.Keys(at.running)) {
		f.end(at, run, group.Lapsed)
	}
}
