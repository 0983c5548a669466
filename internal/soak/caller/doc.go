// Package caller submits jobs as the platform's clients do.
package caller
