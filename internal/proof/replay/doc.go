// Package replay runs the scheduler's decision code on a recorded trace in virtual time and reports the outcome.
//
// It models neither the network nor queueing: simulated workers finish each task after its true run time.
package replay
