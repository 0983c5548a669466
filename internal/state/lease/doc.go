// Package lease elects the owner of a data centre by a lease in the key-value store; its epoch is the fencing token.
package lease
