// Package kvhttp is the store driver for a key-value store with a JSON interface over HTTP.
package kvhttp
