// Package store is the client of the platform's key-value service: one call budget, compare-and-swap with write IDs, and lost answers settled by reading back.
//
// Each protocol of a key-value service is a Driver that registers itself under a name.
package store
