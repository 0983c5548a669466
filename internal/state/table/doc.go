// Package table stores records in the key-value store, sharded over few large values, and commits many changes in one write.
package table
