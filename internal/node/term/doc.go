// Package term implements the owner: its election, and the decisions, orders and records of one leadership term. An owner
// stops deciding as soon as its own lease may have lapsed.
//
// Every write of an owner is conditional on its ownership, and every order carries the revision at which it acquired
// ownership as a fencing token, so writes and orders of a paused or superseded owner have no effect.
package term
