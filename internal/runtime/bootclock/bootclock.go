// Package bootclock reads the clock that counts since the machine's start, the time
// that it was suspended included.
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

// started is for the steady clock, where the other one can't be read.
var started = time.Now()

// Now returns the present. Instants of one process can be compared.
func Now() clock.Millis {
	var present unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &present); err != nil {
		// Only kernels before 2.6.39 lack it; the steady clock is the nearest one.
		return clock.Second.Add(clock.FromDuration(time.Since(started)))
	}
	return clock.Millis(present.Nano() / int64(time.Millisecond))
}
