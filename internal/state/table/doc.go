// Package table keeps records in the key-value service, spread over few large values, with one write for many changes.
package table
