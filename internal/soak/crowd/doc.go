// Package crowd tests that lentildeckd withstands clients that no one controls: real processes are flooded over loopback.
package crowd
