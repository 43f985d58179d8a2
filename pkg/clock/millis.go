// Package clock has the one time type of the project: a count of milliseconds.
//
// Decision packages never read a clock. They are given the present as a Millis
// and compute with it, so that a test can drive them step by step.
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

// Millis is an instant or a span in milliseconds. An instant counts from an
// arbitrary start that is the same for one process.
type Millis int64

// Units of Millis.
const (
	Millisecond Millis = 1
	Second      Millis = 1000 * Millisecond
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// FromTime returns the wall clock instant t in milliseconds since 1970.
func FromTime(t time.Time) Millis {
	return Millis(t.UnixMilli())
}

// FromDuration returns d rounded down to whole milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Add returns the instant span after m.
func (m Millis) Add(span Millis) Millis {
	return m + span
}

// Since returns the span from start to m.
func (m Millis) Since(start Millis) Millis {
	return m - start
}

// Before reports whether m is earlier than other.
func (m Millis) Before(other Millis) bool {
	return m < other
}

// Duration returns the span m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// CeilSeconds returns the span m in whole seconds, rounded up, and at least 1,
// as the Retry-After header wants it.
func (m Millis) CeilSeconds() int {
	seconds := int((m + Second - 1) / Second)
	return max(seconds, 1)
}

// String returns m with its unit.
func (m Millis) String() string {
	return strconv.FormatInt(int64(m), 10) + "ms"
}
