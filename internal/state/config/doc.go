// Package config holds the operators' configuration: one document per revision, never replaced by a lower one.
package config
