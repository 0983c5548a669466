// Package guard keeps a proof that every guaranteed shape can be had back: a home on live workers for each.
package guard
