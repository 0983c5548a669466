// Package daemon assembles the components of one entry instance and runs them until it is stopped.
package daemon
