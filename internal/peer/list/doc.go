// Package list reads the platform's instance list, which may be out of date.
package list
