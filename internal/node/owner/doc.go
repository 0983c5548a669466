// Package owner decides for one data centre while its instance holds the lease, and carries the decisions out on the workers.
package owner
