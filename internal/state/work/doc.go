// Package work defines jobs, which consist of steps, and the records of them in the key-value store.
package work
