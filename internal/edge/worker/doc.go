// Package worker speaks with workers: one call carries orders, renews leases and brings back what the worker holds.
package worker
