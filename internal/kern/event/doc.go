// Package event writes numbered log events; docs/LOGS.md is their catalogue.
package event
