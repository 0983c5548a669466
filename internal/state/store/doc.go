// Package store is the client of the platform's key-value store. It has a call budget, does compare-and-swap with write IDs,
// and resolves lost responses by reading back.
//
// Each store protocol is a Driver that registers itself under a name.
package store
