// Package evict selects the running jobs to stop so that a shape fits, at the least loss of work.
package evict
