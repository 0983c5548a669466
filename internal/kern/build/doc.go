// Package build identifies the release and the source revision of the program.
package build
