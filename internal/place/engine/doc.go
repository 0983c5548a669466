// Package engine is a scheduler of whole-job gangs: it decides which job starts where and which jobs stop for it,
// and records why the others wait.
//
// It is deterministic: every method takes the current time, and random numbers come from a seed. It does no input or output,
// so the owner of a data centre and the replay of traces call the same methods.
package engine
