// Package check counts the promises that a replay's log breaks. It shares no code with the scheduler's decisions, so that
// a fault there cannot hide itself.
package check
