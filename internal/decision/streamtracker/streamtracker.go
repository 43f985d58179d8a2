// Package streamtracker keeps the streams that ended at one instance and whose callers may
// still resume them.
//
// Load pattern: connections break while the versions of the servers' software change. As
// long as a caller may come back for a stream, the assignment by which it began is needed.
//
// The number of streams is limited. If one can't be kept, the tracker reports that any
// stream may be left, until the time up to which that one would have been kept.
//
// # Usage
//
//	tracker := streamtracker.New()
//	tracker.Add(now, streamtracker.Stream{ID: "stream-1", Origin: origin}, until)
//	left := tracker.Any(now, func(stream streamtracker.Stream) bool { ... })
package streamtracker

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// maxStreams limits the streams that are kept: some seconds of broken ones at the highest
// load of an instance.
const maxStreams = 4096

// Stream is a stream that ended.
type Stream struct {
	// ID is the identifier of the request that brought its first event, Host and Path
	// are those of the request.
	ID     string
	Host   string
	Path   string
	Origin originkeeper.Origin
}

// Tracker has the streams. It is not safe for concurrent use.
type Tracker struct {
	kept []kept
	// droppedUntil is the time up to which a stream that was not kept may be resumed.
	droppedUntil clock.Millis
}

type kept struct {
	stream Stream
	until  clock.Millis
}

// New returns a Tracker without streams.
func New() *Tracker { return &Tracker{} }

// Add keeps the stream up to the given time.
func (t *Tracker) Add(now clock.Millis, stream Stream, until clock.Millis) {
	if len(t.kept) >= maxStreams {
		t.expire(now)
	}
	if len(t.kept) >= maxStreams {
		t.droppedUntil = max(t.droppedUntil, until)
		return
	}
	t.kept = append(t.kept, kept{stream: stream, until: until})
}

// Any reports whether the condition holds for a stream that may still be resumed, or
// may hold for one that could not be kept.
func (t *Tracker) Any(now clock.Millis, holds func(Stream) bool) bool {
	t.expire(now)
	return now < t.droppedUntil || slices.ContainsFunc(t.kept, func(k kept) bool { return holds(k.stream) })
}

// Len returns the number of streams.
func (t *Tracker) Len() int { return len(t.kept) }

func (t *Tracker) expire(now clock.Millis) {
	t.kept = slices.DeleteFunc(t.kept, func(k kept) bool { return now >= k.until })
}
