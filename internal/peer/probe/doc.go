// Package probe lets an owner that can't read the configuration or the list of workers ask other instances whether they can.
package probe
