package group

import "time"

// LeaseRenewed records that a lease renewal was sent to the worker, so what runs there may live until the given time.
func (e *Engine) LeaseRenewed(id string, until time.Time) {
	if w := e.workers[id]; w != nil {
		w.LeaseEnds = latest(w.LeaseEnds, until)
	}
}

// leaseExtension holds until when lease proxies may extend a worker's leases: until applies to the current proxy,
// earlierUntil to those before it, whose permission can no longer be revoked.
type leaseExtension struct {
	proxy        string
	until        time.Time
	earlierUntil time.Time
}

// AllowExtension records that the proxy may extend the worker's leases, so what runs there may live until the given time.
func (e *Engine) AllowExtension(id, proxy string, until time.Time) {
	w := e.workers[id]
	if w == nil {
		return
	}
	extension := &w.leaseExtension
	if extension.proxy != proxy {
		extension.proxy, extension.until, extension.earlierUntil = proxy, time.Time{}, latest(extension.earlierUntil, extension.until)
	}
	extension.until = latest(extension.until, until)
}

// EndExtension records that the proxy no longer extends the worker's leases; its extensions end by the given time.
func (e *Engine) EndExtension(id, proxy string, until time.Time) {
	if w := e.workers[id]; w != nil && w.leaseExtension.proxy == proxy {
		w.leaseExtension.until = until
	}
}

// heldUntil returns until when anything on the worker may be alive, and what allows that.
func (w *Worker) heldUntil() (until time.Time, holder string) {
	extended := latest(w.leaseExtension.until, w.leaseExtension.earlierUntil)
	until, holder = w.LeaseEnds, "its lease has not expired"
	if extended.After(until) {
		until, holder = extended, "a lease proxy may extend its lease"
	}
	if w.InheritedEnds.After(until) {
		until, holder = w.InheritedEnds, "a lease of an earlier owner may not have expired"
	}
	return until, holder
}

// HeldUntil returns until when anything on the worker may be alive, unless its lease is renewed or extended.
func (w *Worker) HeldUntil() time.Time {
	until, _ := w.heldUntil()
	return until
}

// leaseExpired reports whether everything on the worker has certainly been killed.
func (w *Worker) leaseExpired(now time.Time) bool {
	return now.After(w.HeldUntil())
}

// InheritedLeases are the times by which the leases that earlier owners have granted have certainly expired.
type InheritedLeases struct {
	// ByWorker has the workers of which more is known than of all others.
	ByWorker map[string]time.Time
	// Others applies to the other workers; it is zero if nothing is known of them.
	Others time.Time
}

// of returns the time for one worker, zero if nothing is known.
func (l InheritedLeases) of(worker string) time.Time {
	if at, known := l.ByWorker[worker]; known {
		return at
	}
	return l.Others
}

// InheritLeases applies what has become known of the leases of earlier owners; a time that is later than known before changes nothing.
func (e *Engine) InheritLeases(known InheritedLeases) {
	merged := InheritedLeases{ByWorker: make(map[string]time.Time), Others: earliestKnown(e.inherited.Others, known.Others)}
	for _, l := range []InheritedLeases{e.inherited, known} {
		for id := range l.ByWorker {
			merged.ByWorker[id] = earliestKnown(e.inherited.of(id), known.of(id))
		}
	}
	e.inherited = merged
	for _, w := range e.sortedWorkers {
		w.InheritedEnds = earliestKnown(w.InheritedEnds, merged.of(w.ID))
	}
}

// Leases returns when all leases on the workers have certainly expired, as far as this owner knows.
func (e *Engine) Leases() InheritedLeases {
	leases := InheritedLeases{ByWorker: make(map[string]time.Time), Others: e.inherited.Others}
	for id, until := range e.inherited.ByWorker {
		leases.ByWorker[id] = until
	}
	for id, w := range e.workers {
		leases.ByWorker[id] = w.HeldUntil()
	}
	return leases
}

// earliestKnown returns the earlier of two times, or the other one if one is zero.
func earliestKnown(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
