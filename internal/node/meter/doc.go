// Package meter provides the metrics of an instance and publishes them through expvar.
package meter
