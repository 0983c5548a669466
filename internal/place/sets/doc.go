// Package sets decides where and when the tasks of jobs with steps run: a state machine without clock, goroutines or I/O.
//
// A set is the unit of placement: a gang, or a single task of a step without one. A run is one start of a set.
package sets
