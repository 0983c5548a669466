// Package span gives durations their text form in settings, traces and records.
package span
