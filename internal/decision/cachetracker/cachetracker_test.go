package cachetracker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var engines = []cachetracker.Server{{ID: "e", Address: "a"}}

func rank(number int) func(string) int { return func(string) int { return number } }

// synced returns a tracker that has read the engine up to change 10 of epoch 1 at 1000.
func synced(t *testing.T) *cachetracker.CacheTracker {
	t.Helper()
	caches := cachetracker.New()
	requests := caches.Due(1000, engines, rank(0))
	require.Equal(t, []cachetracker.ReadRequest{{Server: "e", Address: "a", Full: true}}, requests, "the first read is of the full cache")
	require.Empty(t, caches.Due(1100, engines, rank(0)), "one read at a time")
	require.Equal(t, cachetracker.Reset, caches.RecordRead(1000, "e", cachetracker.ReadResult{Full: true, Epoch: 1, LastChange: 10}))
	return caches
}

// TestOneReadsForAll simulates several instances with one engine: without failures the
// engine is read about once a second in total, not once by each instance.
func TestOneReadsForAll(t *testing.T) {
	const instances, duration = 9, 20 * clock.Second
	trackers := make([]*cachetracker.CacheTracker, instances)
	for i := range trackers {
		trackers[i] = synced(t)
	}
	reads := 0
	lastChange := int64(10)
	for now := clock.Millis(1100); now < duration; now += 100 {
		for i, caches := range trackers {
			for _, request := range caches.Due(now, engines, rank(i)) {
				reads++
				lastChange++
				result := cachetracker.ReadResult{Since: request.Since, Epoch: 1, LastChange: lastChange}
				require.Equal(t, cachetracker.Apply, caches.RecordRead(now, "e", result))
				for j, peer := range trackers {
					if j != i {
						require.Equal(t, cachetracker.Apply, peer.ReceiveDelta(now, "e", result))
					}
				}
			}
		}
	}
	require.LessOrEqual(t, reads, 20)
	require.GreaterOrEqual(t, reads, 15)
}

// TestInstanceWithoutDeltasReads verifies that an instance of each rank reads the server
// if it receives nothing from its peers, after a bounded delay.
func TestInstanceWithoutDeltasReads(t *testing.T) {
	for name, test := range map[string]struct {
		rank int
		due  clock.Millis
	}{
		"first":  {0, 2000},
		"second": {1, 3500},
		"last":   {80, 6500},
	} {
		t.Run(name, func(t *testing.T) {
			caches := synced(t)
			require.Empty(t, caches.Due(test.due-1, engines, rank(test.rank)))
			requests := caches.Due(test.due, engines, rank(test.rank))
			require.Equal(t, []cachetracker.ReadRequest{{Server: "e", Address: "a", Since: 10}}, requests)
		})
	}
}

func TestOwnReads(t *testing.T) {
	for name, test := range map[string]struct {
		result cachetracker.ReadResult
		action cachetracker.Action
		since  int64 // since is the field Since of the next read.
	}{
		"new changes":          {cachetracker.ReadResult{Since: 10, Epoch: 1, LastChange: 12}, cachetracker.Apply, 12},
		"no changes":           {cachetracker.ReadResult{Since: 10, Epoch: 1, LastChange: 10}, cachetracker.Ignore, 10},
		"late":                 {cachetracker.ReadResult{Since: 8, Epoch: 1, LastChange: 9}, cachetracker.Ignore, 10},
		"lost changes":         {cachetracker.ReadResult{Since: 10, Epoch: 1, LastChange: 900, ChangesLost: true}, cachetracker.Reset, 900},
		"the server restarted": {cachetracker.ReadResult{Since: 10, Epoch: 2, LastChange: 12}, cachetracker.Reset, 0},
		"full, of a new epoch": {cachetracker.ReadResult{Full: true, Epoch: 2, LastChange: 3}, cachetracker.Reset, 3},
	} {
		t.Run(name, func(t *testing.T) {
			caches := synced(t)
			require.Equal(t, test.action, caches.RecordRead(2000, "e", test.result))
			requests := caches.Due(9000, engines, rank(0))
			require.Len(t, requests, 1)
			require.Equal(t, test.since, requests[0].Since)
		})
	}
}

func TestPeerDeltas(t *testing.T) {
	for name, test := range map[string]struct {
		result cachetracker.ReadResult
		action cachetracker.Action
		due    bool // due is set if the engine is read at once.
	}{
		"new changes":     {cachetracker.ReadResult{Since: 10, Epoch: 1, LastChange: 12}, cachetracker.Apply, false},
		"overlap":         {cachetracker.ReadResult{Since: 7, Epoch: 1, LastChange: 12}, cachetracker.Apply, false},
		"known changes":   {cachetracker.ReadResult{Since: 7, Epoch: 1, LastChange: 9}, cachetracker.Ignore, false},
		"missing changes": {cachetracker.ReadResult{Since: 11, Epoch: 1, LastChange: 12}, cachetracker.Ignore, true},
		"another epoch":   {cachetracker.ReadResult{Since: 10, Epoch: 2, LastChange: 12}, cachetracker.Ignore, true},
		"lost changes":    {cachetracker.ReadResult{Since: 10, Epoch: 1, LastChange: 12, ChangesLost: true}, cachetracker.Ignore, true},
	} {
		t.Run(name, func(t *testing.T) {
			caches := synced(t)
			require.Equal(t, test.action, caches.ReceiveDelta(1500, "e", test.result))
			require.Equal(t, test.due, len(caches.Due(1600, engines, rank(5))) == 1)
		})
	}
}

func TestBackoffAfterFailedRead(t *testing.T) {
	caches := synced(t)
	require.Len(t, caches.Due(2000, engines, rank(0)), 1)
	caches.RecordFailure(2100, "e")
	require.Empty(t, caches.Due(4000, engines, rank(0)))
	require.Len(t, caches.Due(4100, engines, rank(0)), 1)
	require.Empty(t, caches.Due(7000, engines, rank(0)))
	require.Len(t, caches.Due(7100, engines, rank(0)), 1, "a read without an outcome is made again")
}

// TestRemovedServers verifies that the position of a server which is removed is dropped,
// and that a server which returns, or changes its address, is read in full.
func TestRemovedServers(t *testing.T) {
	for name, remove := range map[string]func(caches *cachetracker.CacheTracker) []cachetracker.Server{
		"removed and added again": func(caches *cachetracker.CacheTracker) []cachetracker.Server {
			caches.Due(1200, nil, rank(0))
			return engines
		},
		"crashed": func(caches *cachetracker.CacheTracker) []cachetracker.Server {
			caches.Forget("e")
			return engines
		},
		"address changed": func(*cachetracker.CacheTracker) []cachetracker.Server {
			return []cachetracker.Server{{ID: "e", Address: "b"}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			caches := synced(t)
			servers := remove(caches)
			requests := caches.Due(1300, servers, rank(9))
			require.Equal(t, []cachetracker.ReadRequest{{Server: "e", Address: servers[0].Address, Full: true}}, requests)
			require.Equal(t, cachetracker.Ignore, caches.ReceiveDelta(1300, "e", cachetracker.ReadResult{Since: 10, Epoch: 1, LastChange: 12}), "the full read is in progress")
			require.Equal(t, cachetracker.Ignore, caches.RecordRead(1300, "other", cachetracker.ReadResult{Epoch: 1}))
		})
	}
}

func TestDelta(t *testing.T) {
	result := cachetracker.ReadResult{Since: 3, Epoch: 1, LastChange: 6, Changes: []cachetracker.Change{{Key: 1, Tokens: 5}, {Key: 2}}}
	require.True(t, result.Shareable())
	received := result.Delta(func(key uint64) bool { return key == 2 }).Result()
	require.Equal(t, cachetracker.ReadResult{Since: 3, Epoch: 1, LastChange: 6, Changes: []cachetracker.Change{{Key: 2}}}, received)
	require.False(t, cachetracker.ReadResult{Full: true, Epoch: 1, LastChange: 6}.Shareable())
	require.False(t, cachetracker.ReadResult{Since: 3, Epoch: 1, LastChange: 6, ChangesLost: true}.Shareable())
	require.False(t, cachetracker.ReadResult{Since: 3, Changes: make([]cachetracker.Change, 500)}.Shareable())
}
