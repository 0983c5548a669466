// Package trace reads recorded traces: JSON Lines, a header and then events in order of time.
package trace
