// Package check counts broken promises in a replay's log; it shares no code with the decisions.
package check
