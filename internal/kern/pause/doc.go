// Package pause waits for time to pass.
package pause
