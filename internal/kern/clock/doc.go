// Package clock reads a monotonic clock that also advances while the machine is suspended.
package clock
