// Package claim stores idempotency records, so that all instances together dispatch a non-idempotent request at most once.
package claim
