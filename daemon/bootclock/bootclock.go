// Package bootclock reads CLOCK_BOOTTIME, a monotonic clock that keeps running while the VM is
// suspended. Leases that other processes rely on must be measured with it: the monotonic clock
// of package time stops during a suspension, so a lease measured with that clock would last
// too long.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time on this clock, as the duration since the VM booted.
type Time time.Duration

// Now returns the current time of the clock.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock. Without it no lease may be granted.
		panic("bootclock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return Time(ts.Nano())
}

// Since returns the time that has passed since t.
func Since(t Time) time.Duration { return Now().Sub(t) }

// Sub returns the time from o to t.
func (t Time) Sub(o Time) time.Duration { return time.Duration(t - o) }

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }
