// Package relay hands callers' requests to another instance while this one is cut off from the key-value service.
package relay
