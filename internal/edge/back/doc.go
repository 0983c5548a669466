// Package back calls backend servers and tells answers apart that were never asked for, refused, lost or whole.
package back
