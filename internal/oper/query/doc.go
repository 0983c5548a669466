// Package query is the operators' language: its grammar, and the evaluation of questions over rows.
package query
