// Package local runs instances and fakes of the platform in one process, with a demonstration that checks each step.
package local
