// Package worker is a stand-in for the machines that run tasks.
package worker
