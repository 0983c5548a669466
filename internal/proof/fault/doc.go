// Package fault checks that the tests named in docs/FAULTS.md and KNOWN-RED.txt exist, and that the table of failures and
// promises is complete.
package fault
