// Package client implements an HTTP client for the operators' and callers' ports of an entry instance.
package client
