// Package agent defines the client interface to workers, which run single tasks under leases and report their exit statuses.
package agent
