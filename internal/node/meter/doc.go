// Package meter counts what an instance does and publishes it by expvar.
package meter
