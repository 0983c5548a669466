// Package fault checks that the table of failures and promises names tests that exist.
package fault
