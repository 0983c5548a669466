// Package shape describes how much capacity a job needs and how near its members must be.
package shape
