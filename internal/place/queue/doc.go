// Package queue holds the state of a job in memory and estimates run times.
package queue
