// Package judge checks what callers, workers and the store of a soak have seen against the rules.
package judge
