package streamtracker_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/streamtracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestStreamsAreKeptUntilTheirTime guards against an earlier assignment that is dropped while
// a caller may come back for a stream of it.
func TestStreamsAreKeptUntilTheirTime(t *testing.T) {
	tracker := streamtracker.New()
	tracker.Add(1000, streamtracker.Stream{ID: "a"}, 2000)
	is := func(id string) func(streamtracker.Stream) bool {
		return func(stream streamtracker.Stream) bool { return stream.ID == id }
	}
	require.True(t, tracker.Any(1999, is("a")))
	require.False(t, tracker.Any(1999, is("b")))
	require.False(t, tracker.Any(2000, is("a")))
	require.Zero(t, tracker.Len())
}

// TestStreamsBeyondTheLimitCount guards against streams that are forgotten because there are
// too many.
func TestStreamsBeyondTheLimitCount(t *testing.T) {
	tracker := streamtracker.New()
	const until = 5 * clock.Second
	for i := range 10_000 {
		tracker.Add(1, streamtracker.Stream{ID: fmt.Sprint(i)}, until)
	}
	none := func(streamtracker.Stream) bool { return false }
	require.LessOrEqual(t, tracker.Len(), 4096)
	require.True(t, tracker.Any(until-1, none))
	require.False(t, tracker.Any(until, none))
}
