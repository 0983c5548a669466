// Package relay forwards callers' requests to other instances while this one is cut off from the key-value store.
package relay
