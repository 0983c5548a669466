// Package span encodes durations as text in settings, traces and records.
package span
