// Package owner decides for one data centre while its instance holds the lease, and sends the decisions to the workers.
package owner
