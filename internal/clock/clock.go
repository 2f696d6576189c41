// Package clock reads time for the goroutines round the core. Spans are
// measured on CLOCK_BOOTTIME, which keeps counting while the machine is
// suspended; Go's own monotonic clock does not.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a source of time.
type Clock interface {
	// Now returns a reading that never goes back and counts suspension.
	Now() time.Duration
	// Wall returns the time of day, for windows and labels only.
	Wall() time.Time
}

// System is the machine's clock.
type System struct{}

// Now implements Clock by CLOCK_BOOTTIME.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock_gettime CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall implements Clock.
func (System) Wall() time.Time { return time.Now() }
