// Package group decides where and when the tasks of jobs with steps run: a state machine without clock, goroutines or I/O.
//
// A task group is what is placed, started and stopped as a whole: a gang, or a single task of a step without one. A run is
// one attempt to run a task group, and a member is one task of a run, on one worker.
package group
