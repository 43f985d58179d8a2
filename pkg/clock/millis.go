// Package clock defines Millis, the type for instants and durations in decision
// packages.
//
// Decision packages never read a clock. They receive the current time as an
// argument, so that tests can run them with a simulated clock.
//
// # Usage
//
//	now := clock.FromTime(time.Now())
//	deadline := now.Add(2 * clock.Second)
//	if now.Before(deadline) { ... }
package clock

import (
	"strconv"
	"time"
)

// Millis is an instant or a duration in milliseconds. An instant is measured from an
// arbitrary origin that is the same within one process.
type Millis int64

// Units of Millis.
const (
	Millisecond Millis = 1
	Second      Millis = 1000 * Millisecond
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// FromTime returns t as a Unix time in milliseconds.
func FromTime(t time.Time) Millis {
	return Millis(t.UnixMilli())
}

// FromDuration returns d rounded down to whole milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Add returns the instant m plus the duration d.
func (m Millis) Add(d Millis) Millis {
	return m + d
}

// Since returns the duration from start to m.
func (m Millis) Since(start Millis) Millis {
	return m - start
}

// Before reports whether m is earlier than other.
func (m Millis) Before(other Millis) bool {
	return m < other
}

// Duration returns the duration m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// CeilSeconds returns the duration m in whole seconds, rounded up, and at least 1,
// as a value for the Retry-After header.
func (m Millis) CeilSeconds() int {
	seconds := int((m + Second - 1) / Second)
	return max(seconds, 1)
}

// String returns m with its unit, such as "20ms".
func (m Millis) String() string {
	return strconv.FormatInt(int64(m), 10) + "ms"
}
