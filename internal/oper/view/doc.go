// Package view holds the rows that operators ask for: jobs, workers, data centres and instances.
package view
