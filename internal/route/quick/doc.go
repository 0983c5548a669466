// Package quick answers requests while the caller waits: it routes, limits, retries where that is safe, and says truthfully what did not run.
package quick
