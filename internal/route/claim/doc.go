// Package claim makes sure that a non-idempotent request is dispatched at most once by all instances together.
package claim
