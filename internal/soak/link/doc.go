// Package link gives connections the delay, bandwidth and failures of a network.
package link
