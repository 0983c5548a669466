// Package extend extends the leases of workers on behalf of an owner that can't reach their data centre.
//
// The owner chooses one instance in each other data centre as its lease proxy. It sends the proxy the list of workers that
// have tasks and the time until which their leases may be extended. The proxy extends leases only while it receives no
// requests from the owner. The time is on the proxy's own clock, which the owner knows from the proxy's last reply, so a
// delayed request can't extend leases beyond the time that the owner allowed for.
package extend
