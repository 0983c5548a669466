// Package quick serves requests while the caller waits: it routes them to backend servers, limits and retries them where
// that is safe, and reports whether a failed request had an effect.
package quick
