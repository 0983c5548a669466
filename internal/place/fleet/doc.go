// Package fleet holds the workers of one or more data centres and finds places for shapes in them.
package fleet
