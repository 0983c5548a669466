// Package policy holds the operators' configuration of queues and workspaces and the time of its last freshness proof.
package policy
