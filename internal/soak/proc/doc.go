// Package proc runs the real instances as processes.
package proc
