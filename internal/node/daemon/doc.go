// Package daemon wires the parts of one entry instance together and runs them until it is told to stop.
package daemon
