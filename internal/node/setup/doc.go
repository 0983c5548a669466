// Package setup reads and validates the settings file: JSON with comments. It rejects unknown fields and reports every
// invalid setting in one error.
package setup
