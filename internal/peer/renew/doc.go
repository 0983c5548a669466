// Package renew extends the leases of workers on behalf of an owner that can't reach their data centre.
//
// In each other data centre, the owner sends one instance, the lease proxy, the workers that have tasks and the time until
// which it may extend their leases. The proxy does so only while it receives no requests from the owner. The time is on the
// proxy's own clock, which the owner knows from the proxy's last reply, so a delayed request can't extend leases beyond the
// time that the owner allowed for.
package renew
