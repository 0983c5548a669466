// Package worker is the protocol with workers: one call sends orders, renews leases and returns the worker's tasks.
package worker
