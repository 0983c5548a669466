// Package build tells which release this is.
package build
