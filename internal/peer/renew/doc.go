// Package renew prolongs the leases of a data centre's workers from within it while the owner can't reach it.
//
// The owner tells one instance of each other data centre which workers have tasks, and until when their leases may be
// prolonged on its behalf. Only when the owner falls silent does that instance act. The time is on the instance's own clock, as
// of its last answer, so a message that arrives late prolongs nothing beyond what the owner has reckoned with.
package renew
