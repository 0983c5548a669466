// Package setup reads settings: JSON with comments, unknown fields refused, every mistake listed at once.
package setup
