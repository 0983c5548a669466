// Package slope holds the benchmarks behind docs/CAPACITY.md; `make bench-capacity` runs them.
package slope
