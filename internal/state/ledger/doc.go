// Package ledger keeps the records of all jobs in the key-value service, in shards with group commit.
package ledger
