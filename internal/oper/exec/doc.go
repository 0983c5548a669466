// Package exec carries out statements of the operators' language.
package exec
