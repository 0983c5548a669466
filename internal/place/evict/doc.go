// Package evict chooses which running jobs must stop so that a shape fits, losing as little work as it can.
package evict
