// Package config holds the operators' configuration: one document a revision, never applied backwards.
package config
