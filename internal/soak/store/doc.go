// Package store is a stand-in for the platform's metadata store.
package store
