// Package admit accepts and cancels jobs and reports their state; every instance does so directly against the key-value
// store.
package admit
