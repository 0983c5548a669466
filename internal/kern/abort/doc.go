// Package abort runs the parts of a process and ends it when one of them panics.
//
// A part that panics may hold locks or leave state half changed. A process that goes on without it still answers health checks;
// one that ends is started again.
package abort
