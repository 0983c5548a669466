// Package abort runs the components of a process, each in a goroutine, and ends the process if one of them panics.
//
// A component that panics may hold locks or leave its state inconsistent. A process that continued without it would still
// pass health checks, whereas a process that ends is restarted.
package abort
