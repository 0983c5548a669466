// Package agent is the interface to workers that run single tasks under leases and list how each ended.
package agent
