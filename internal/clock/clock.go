// Package clock provides the time to the goroutines that run the core packages, and
// waits for intervals and conditions. Durations are measured on CLOCK_BOOTTIME, which
// keeps counting while the machine is suspended; Go's monotonic clock does not. A Clock
// is an interface, so that tests can replace the system's clock; Every, Sleep and
// PollUntil always use Go's timers.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a source of time.
type Clock interface {
	// Now returns a monotonic reading, which includes the time while the machine is
	// suspended.
	Now() time.Duration
	// Wall returns the wall-clock time, which may jump. It is for billing windows, recorded
	// times and deadlines sent to other systems; intervals are measured with Now.
	Wall() time.Time
}

// System is the operating system's clock.
type System struct{}

// Now implements Clock with CLOCK_BOOTTIME.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock_gettime CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall implements Clock.
func (System) Wall() time.Time { return time.Now() }
