// Package lease holds the right to decide for a data centre, fenced by an epoch.
package lease
