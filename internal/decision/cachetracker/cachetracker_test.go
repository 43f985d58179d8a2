package cachetracker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var engine = []cachetracker.Server{{ID: "e", Address: "a"}}

func turn(number int) func(string) int { return func(string) int { return number } }

// known returns a tracker that has read the engine up to change 10 of epoch 1 at 1000.
func known(t *testing.T) *cachetracker.CacheTracker {
	t.Helper()
	caches := cachetracker.New()
	reads := caches.Due(1000, engine, turn(0))
	require.Equal(t, []cachetracker.Read{{Server: "e", Address: "a", All: true}}, reads, "all that a server has is read at first")
	require.Empty(t, caches.Due(1100, engine, turn(0)), "one reading at a time")
	require.Equal(t, cachetracker.Anew, caches.Read(1000, "e", cachetracker.Reading{All: true, Epoch: 1, Next: 10}))
	return caches
}

// TestOneReadsForAll replays a fleet of instances with one engine: in calm times the
// engine is read about once a second, not once by each.
func TestOneReadsForAll(t *testing.T) {
	const instances, span = 9, 20 * clock.Second
	fleet := make([]*cachetracker.CacheTracker, instances)
	for i := range fleet {
		fleet[i] = known(t)
	}
	readings := 0
	next := int64(10)
	for now := clock.Millis(1100); now < span; now += 100 {
		for i, caches := range fleet {
			for _, read := range caches.Due(now, engine, turn(i)) {
				readings++
				next++
				reading := cachetracker.Reading{Since: read.Since, Epoch: 1, Next: next}
				require.Equal(t, cachetracker.GoesOn, caches.Read(now, "e", reading))
				for j, peer := range fleet {
					if j != i {
						require.Equal(t, cachetracker.GoesOn, peer.Told(now, "e", reading))
					}
				}
			}
		}
	}
	require.LessOrEqual(t, readings, 20)
	require.GreaterOrEqual(t, readings, 15)
}

// TestAnInstanceThatHearsNothingReads holds that each place in the order reads when
// those before it tell nothing, within a bound.
func TestAnInstanceThatHearsNothingReads(t *testing.T) {
	for name, want := range map[string]struct {
		turn int
		due  clock.Millis
	}{
		"first":  {0, 2000},
		"second": {1, 3500},
		"last":   {80, 6500},
	} {
		t.Run(name, func(t *testing.T) {
			caches := known(t)
			require.Empty(t, caches.Due(want.due-1, engine, turn(want.turn)))
			reads := caches.Due(want.due, engine, turn(want.turn))
			require.Equal(t, []cachetracker.Read{{Server: "e", Address: "a", Since: 10}}, reads)
		})
	}
}

func TestReadings(t *testing.T) {
	for name, want := range map[string]struct {
		reading cachetracker.Reading
		verdict cachetracker.Verdict
		since   int64 // since is where the next reading begins.
	}{
		"goes on":              {cachetracker.Reading{Since: 10, Epoch: 1, Next: 12}, cachetracker.GoesOn, 12},
		"nothing new":          {cachetracker.Reading{Since: 10, Epoch: 1, Next: 10}, cachetracker.Stale, 10},
		"came late":            {cachetracker.Reading{Since: 8, Epoch: 1, Next: 9}, cachetracker.Stale, 10},
		"changes were missed":  {cachetracker.Reading{Since: 10, Epoch: 1, Next: 900, Lost: true}, cachetracker.Anew, 900},
		"the server restarted": {cachetracker.Reading{Since: 10, Epoch: 2, Next: 12}, cachetracker.Anew, 0},
		"all of a new epoch":   {cachetracker.Reading{All: true, Epoch: 2, Next: 3}, cachetracker.Anew, 3},
	} {
		t.Run(name, func(t *testing.T) {
			caches := known(t)
			require.Equal(t, want.verdict, caches.Read(2000, "e", want.reading))
			reads := caches.Due(9000, engine, turn(0))
			require.Len(t, reads, 1)
			require.Equal(t, want.since, reads[0].Since)
		})
	}
}

func TestToldReadings(t *testing.T) {
	for name, want := range map[string]struct {
		reading cachetracker.Reading
		verdict cachetracker.Verdict
		reads   bool // reads tells that the engine is read at once.
	}{
		"goes on":       {cachetracker.Reading{Since: 10, Epoch: 1, Next: 12}, cachetracker.GoesOn, false},
		"overlaps":      {cachetracker.Reading{Since: 7, Epoch: 1, Next: 12}, cachetracker.GoesOn, false},
		"known":         {cachetracker.Reading{Since: 7, Epoch: 1, Next: 9}, cachetracker.Stale, false},
		"misses some":   {cachetracker.Reading{Since: 11, Epoch: 1, Next: 12}, cachetracker.Stale, true},
		"another epoch": {cachetracker.Reading{Since: 10, Epoch: 2, Next: 12}, cachetracker.Stale, true},
		"lost":          {cachetracker.Reading{Since: 10, Epoch: 1, Next: 12, Lost: true}, cachetracker.Stale, true},
	} {
		t.Run(name, func(t *testing.T) {
			caches := known(t)
			require.Equal(t, want.verdict, caches.Told(1500, "e", want.reading))
			require.Equal(t, want.reads, len(caches.Due(1600, engine, turn(5))) == 1)
		})
	}
}

func TestFailedReadingRests(t *testing.T) {
	caches := known(t)
	require.Len(t, caches.Due(2000, engine, turn(0)), 1)
	caches.Failed(2100, "e")
	require.Empty(t, caches.Due(4000, engine, turn(0)))
	require.Len(t, caches.Due(4100, engine, turn(0)), 1)
	require.Empty(t, caches.Due(7000, engine, turn(0)))
	require.Len(t, caches.Due(7100, engine, turn(0)), 1, "a reading without any outcome is made again")
}

// TestServersThatGo holds that nothing is kept of servers that are gone, and that one
// that is back, or has moved, is read from the beginning.
func TestServersThatGo(t *testing.T) {
	for name, lose := range map[string]func(caches *cachetracker.CacheTracker) []cachetracker.Server{
		"gone and back": func(caches *cachetracker.CacheTracker) []cachetracker.Server {
			caches.Due(1200, nil, turn(0))
			return engine
		},
		"crashed": func(caches *cachetracker.CacheTracker) []cachetracker.Server {
			caches.Forget("e")
			return engine
		},
		"moved": func(*cachetracker.CacheTracker) []cachetracker.Server {
			return []cachetracker.Server{{ID: "e", Address: "b"}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			caches := known(t)
			servers := lose(caches)
			reads := caches.Due(1300, servers, turn(9))
			require.Equal(t, []cachetracker.Read{{Server: "e", Address: servers[0].Address, All: true}}, reads)
			require.Equal(t, cachetracker.Stale, caches.Told(1300, "e", cachetracker.Reading{Since: 10, Epoch: 1, Next: 12}), "it is being read")
			require.Equal(t, cachetracker.Stale, caches.Read(1300, "other", cachetracker.Reading{Epoch: 1}))
		})
	}
}

func TestNews(t *testing.T) {
	reading := cachetracker.Reading{Since: 3, Epoch: 1, Next: 6, Changes: []cachetracker.Change{{Key: 1, Tokens: 5}, {Key: 2}}}
	require.True(t, reading.Worth())
	told := reading.News(func(key uint64) bool { return key == 2 }).Reading()
	require.Equal(t, cachetracker.Reading{Since: 3, Epoch: 1, Next: 6, Changes: []cachetracker.Change{{Key: 2}}}, told)
	require.False(t, cachetracker.Reading{All: true, Epoch: 1, Next: 6}.Worth())
	require.False(t, cachetracker.Reading{Since: 3, Epoch: 1, Next: 6, Lost: true}.Worth())
	require.False(t, cachetracker.Reading{Since: 3, Changes: make([]cachetracker.Change, 500)}.Worth())
}
