// Package reason names why a job waits: one cause from a closed set, with numbers and what would change it.
package reason
