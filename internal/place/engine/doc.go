// Package engine decides which job starts where, what stops for it, and why the others wait.
//
// Every method takes the present time; the package reads no clock, draws no unseeded random number and does no input or output.
// The daemon and the replay call the same methods.
package engine
