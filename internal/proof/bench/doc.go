// Package bench holds the benchmarks for docs/CAPACITY.md; `make bench-capacity` runs them.
package bench
