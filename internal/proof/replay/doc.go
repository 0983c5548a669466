// Package replay drives the decision code with a recorded trace in virtual time and reports what came of it.
//
// It has no network model and no queueing model: a small fake worker finishes each task after its true run time.
package replay
