// Package admit takes in, cancels and answers for jobs, straight against the key-value service, on any instance.
package admit
