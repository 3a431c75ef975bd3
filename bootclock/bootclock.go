// Package bootclock reads a clock that also counts the time for which the
// machine was suspended. Leases and the ages of reports, positions and views are
// measured with it, because the monotonic clock of the Go runtime stands still
// during a suspension, and the time of day may be set.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, as a time since the Unix
// epoch. It may only be compared with other results of this package.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// CLOCK_BOOTTIME exists on all kernels that Go supports.
		panic("bootclock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(now.Sec, now.Nsec)
}

// Since returns the time that has passed since t, an earlier result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
