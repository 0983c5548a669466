// Package back calls backend servers and classifies the result: complete, not run, or lost.
package back
