// Package logs reads the structured log lines of instances.
package logs
