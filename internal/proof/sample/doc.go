// Package sample makes the recorded traces: one scenario a function, the same seed always the same trace.
package sample
