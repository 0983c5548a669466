// Package trail records what callers, workers and the store of a soak see.
package trail
