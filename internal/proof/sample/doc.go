// Package sample generates the recorded traces, one function for each scenario; the same seed always gives the same trace.
package sample
