// Package exec executes statements of the operators' language against the running system.
package exec
