// Package limit bounds what clients that no one controls can make a process hold: bytes of request bodies and open connections.
//
// A Guard has one budget for the bodies of all listeners of the process, and each listener has its own share of the connections, so
// that a crowd at one of them does not close the others. Clients are not told apart by address, as all may come from one balancer.
package limit
