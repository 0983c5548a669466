// Package policy holds the operators' configuration of queues and workspaces and the proof of its freshness.
package policy
