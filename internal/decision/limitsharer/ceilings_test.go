package limitsharer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestTypicalCeiling verifies that rejections of a few servers lower no other one, and that a single
// outlier does not decide what is assumed.
func TestTypicalCeiling(t *testing.T) {
	tests := map[string]struct {
		ceilings []int
		servers  int
		typical  int
		known    bool
	}{
		"none":                      {servers: 6},
		"one of two":                {ceilings: []int{3}, servers: 2},
		"two of six":                {ceilings: []int{8, 9}, servers: 6, typical: 9, known: true},
		"less than a quarter of 33": {ceilings: []int{8, 8, 8, 8, 8, 8, 8, 8}, servers: 33},
		"a quarter of 32":           {ceilings: []int{1, 8, 8, 8, 8, 8, 8, 60}, servers: 32, typical: 8, known: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ceilings := limitsharer.NewCeilings()
			for i, ceiling := range test.ceilings {
				ceilings.Record(fmt.Sprint("e", i), 100)
				ceilings.Record(fmt.Sprint("e", i), ceiling)
			}
			typical, known := ceilings.Typical(test.servers)
			require.Equal(t, test.known, known)
			require.Equal(t, test.typical, typical)
		})
	}
}

// TestAssumedCeiling verifies that a server takes no more than is assumed at first, then
// slowly more, and that an assumption replaces nothing that the server itself has shown.
func TestAssumedCeiling(t *testing.T) {
	tests := map[string]struct {
		fresh, rejected, lifted bool
		assumed                 int
		at                      clock.Millis
		room                    int
	}{
		"at first":                          {assumed: 9, at: 100, room: 9},
		"slowly more":                       {assumed: 9, at: 100 + 8*clock.Second, room: 11},
		"a fresh one grows to it":           {fresh: true, assumed: 9, at: 1100, room: 6},
		"a fresh one grows no faster later": {fresh: true, assumed: 9, at: 3000, room: 9},
		"not above the slots":               {assumed: 70, at: 100, room: 64},
		"not after a rejection":             {rejected: true, assumed: 9, at: 100, room: 28},
		"not if lifted":                     {lifted: true, assumed: 9, at: 100, room: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rooms := limitsharer.NewRooms()
			rooms.SetBrittle(0, brittleStart, 2, 64, test.fresh)
			if test.rejected {
				rooms.Reject(50, brittleStart, 40)
			}
			if test.lifted {
				rooms.Lift(50, brittleStart)
			}
			before := rooms.Snapshot()
			rooms.Assume(100, brittleStart, test.assumed)
			rooms.Assume(101, brittleStart, test.assumed)
			require.Equal(t, test.room, rooms.Room(test.at, brittleStart))
			require.Equal(t, before[0].Version, rooms.Snapshot()[0].Version, "no change for other instances")
		})
	}
}
