// Package server implements the process of one instance on a site: it keeps the configuration fresh, serves callers, and
// competes for ownership.
package server
