// Package queue holds a job's record in memory and decides in which order waiting jobs are considered.
package queue
