// Package kvhttp is the store driver for a key-value service that speaks JSON over HTTP.
package kvhttp
