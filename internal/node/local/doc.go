// Package local runs the whole path in one process with stand-ins for the platform, and a tour that proves each step.
package local
