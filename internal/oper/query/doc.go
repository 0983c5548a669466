// Package query implements the operators' language: its grammar and the evaluation of queries over rows.
package query
