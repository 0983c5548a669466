// Package event writes numbered log events; docs/LOGS.md lists them.
package event
