// Package pause sleeps until a time has passed or a context ends.
package pause
