// Package view defines the rows that operators query: jobs, workers, data centres, instances and guarantees.
package view
