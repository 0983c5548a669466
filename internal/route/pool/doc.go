// Package pool tracks the load and health of the backend servers and chooses one for each quick request.
package pool
