// Package bootclock reads the time since the machine booted, including the time for which
// it was suspended (CLOCK_BOOTTIME).
//
// # Usage
//
//	now := bootclock.Now()
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// processStart is the reference for the monotonic clock, which is used if CLOCK_BOOTTIME is
// not available.
var processStart = time.Now()

// Now returns the current time. Only times within one process can be compared.
func Now() clock.Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Only kernels before 2.6.39 lack CLOCK_BOOTTIME; the monotonic clock is the
		// closest replacement.
		return clock.Second.Add(clock.FromDuration(time.Since(processStart)))
	}
	return clock.Millis(now.Nano() / int64(time.Millisecond))
}
