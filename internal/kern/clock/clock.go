package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started as a time.Time without a monotonic reading.
//
// Unlike time.Now it is never set forward or back, and unlike Go's monotonic clock it also advances while the machine is
// suspended, so a lease that expired during a suspension is not taken for valid afterwards.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, so there is no fallback.
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
