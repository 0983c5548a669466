// Package grants lets a new owner ask earlier owners which leases they have granted to workers, and which exits they have heard of and
// could not record.
//
// A lease of an earlier owner keeps the tasks of a worker that can't be reached alive for many seconds, and each new owner would count
// the longest possible lease anew. An earlier owner that still runs knows when its own leases end.
package grants
