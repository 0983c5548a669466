// Package site describes the installations that a soak plays: their sizes, bounds and traffic.
package site
