// Package list reads the platform's instance list, which lags behind.
package list
