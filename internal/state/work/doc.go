// Package work holds the model of jobs made of steps, and the records that the key-value service keeps of them.
package work
