// Package term is one instance's part as owner: it takes the lease, decides for the whole installation, and steps down by time.
//
// Everything an owner writes is conditional on its ownership, and every order carries the revision at which it took the
// lease as fencing token, so what a paused or superseded owner still sends has no effect.
package term
