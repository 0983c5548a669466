// Package pool keeps the backend servers, their load and health, and chooses one for each quick request.
package pool
