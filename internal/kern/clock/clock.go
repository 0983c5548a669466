package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started as a time.Time without a monotonic reading.
//
// Unlike time.Now it never jumps, and unlike Go's monotonic clock it counts the time in which the machine stood still,
// so a lease that is checked against it can't look valid after a suspension.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, so there is no sensible way on.
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
