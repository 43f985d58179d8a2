package limitsharer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var brittleStart = limitsharer.Start{Server: "e0", StartedAt: 1}

// TestRoomAfterRejections verifies how many requests a brittle server may have after what was
// observed of it.
func TestRoomAfterRejections(t *testing.T) {
	tests := map[string]struct {
		fresh bool
		// rejectedAt are the times of rejections, while the server had 40 requests.
		rejectedAt []clock.Millis
		at         clock.Millis
		room       int
		stopped    bool
	}{
		"the slots at first":              {at: 0, room: 64},
		"a few after its start":           {fresh: true, at: 0, room: 2},
		"growing after its start":         {fresh: true, at: 1000, room: 18},
		"all after some seconds":          {fresh: true, at: 10_000, room: 64},
		"less after a rejection":          {rejectedAt: []clock.Millis{0}, at: 0, room: 28, stopped: true},
		"stopped for a second":            {rejectedAt: []clock.Millis{0}, at: 1099, room: 28, stopped: true},
		"not for longer":                  {rejectedAt: []clock.Millis{0}, at: 1100, room: 28},
		"growing again":                   {rejectedAt: []clock.Millis{0}, at: 1600, room: 32},
		"slowly beyond what it has taken": {rejectedAt: []clock.Millis{0}, at: 8000, room: 37},
		"rejections of one shortage":      {rejectedAt: []clock.Millis{0, 50, 100}, at: 100, room: 28, stopped: true},
		"another shortage":                {rejectedAt: []clock.Millis{0, 1500}, at: 1500, room: 21, stopped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rooms := limitsharer.NewRooms()
			require.True(t, rooms.SetBrittle(0, brittleStart, 2, 64, test.fresh))
			require.False(t, rooms.SetBrittle(0, brittleStart, 2, 64, test.fresh))
			for _, at := range test.rejectedAt {
				rooms.Reject(at, brittleStart, 40)
			}
			require.Equal(t, test.room, rooms.Room(test.at, brittleStart))
			require.Equal(t, test.stopped, rooms.Stopped(test.at, brittleStart))
		})
	}
}

// TestRoomsAreShared verifies that instances agree on a room however their notices arrive, that
// another one stops when it learns of a rejection, and that a server which is not brittle any more
// has no limit.
func TestRoomsAreShared(t *testing.T) {
	first, second := limitsharer.NewRooms(), limitsharer.NewRooms()
	first.SetBrittle(0, brittleStart, 2, 64, false)
	require.Len(t, second.Merge(10, first.Changes(10)), 1)
	require.False(t, second.Stopped(10, brittleStart))
	first.Reject(100, brittleStart, 40)
	second.Reject(101, brittleStart, 30)
	require.Len(t, first.Merge(110, second.Changes(110)), 1, "of equal versions, the lower room holds")
	require.Empty(t, second.Merge(110, first.Changes(110)))
	require.Equal(t, first.Room(110, brittleStart), second.Room(110, brittleStart))
	third := limitsharer.NewRooms()
	third.SetBrittle(0, brittleStart, 2, 64, false)
	third.Merge(120, first.Snapshot())
	require.True(t, third.Stopped(120, brittleStart))
	require.True(t, first.Lift(5000, brittleStart))
	require.Len(t, second.Merge(5010, first.Changes(5010)), 1)
	_, brittle := second.Brittle(brittleStart)
	require.False(t, brittle)
	require.False(t, second.Reject(5020, brittleStart, 3))
}

// TestPartsAddUpToRoom verifies that the parts of all instances are the room, at least one request
// for each instance that has one.
func TestPartsAddUpToRoom(t *testing.T) {
	for _, room := range []int{1, 2, 7, 8, 64, 300} {
		for _, instances := range []int{1, 7, 67, 295} {
			sum := 0
			for rank := range instances {
				sum += limitsharer.Part(room, rank, instances)
			}
			require.Equal(t, room, sum, "%d instances", instances)
		}
	}
}
