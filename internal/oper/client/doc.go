// Package client calls the operators' and callers' ports of an entry instance.
package client
