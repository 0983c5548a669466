// Package reason describes why a job waits: one code of a closed set, with numbers and what would change the situation.
package reason
