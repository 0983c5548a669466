// Package fleet holds the workers of one or more data centres and finds placements for shapes on them.
package fleet
