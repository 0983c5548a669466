// Package ledger stores the records of all jobs in the key-value store, in shards with group commit.
package ledger
