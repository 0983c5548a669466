// Package clock reads a steady clock that goes on while the machine is suspended.
package clock
