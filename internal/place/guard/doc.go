// Package guard keeps a home for every guaranteed shape: a reservation of live workers that may be lent to other jobs and
// that can be reclaimed at any time.
package guard
