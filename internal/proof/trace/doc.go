// Package trace reads recorded traces, which are JSON Lines: a header and then events in order of time.
package trace
