// Package shape describes how much capacity a job needs and how close together its members must be placed.
package shape
