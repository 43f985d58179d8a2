package roster_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/roster"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

func entry(id string, revision int64) roster.Entry {
	return roster.Entry{ID: id, Service: "engines", Address: "10.0.0.1:80", Domain: "a", Born: 1, Revision: revision, Weights: map[string]int64{"m": 1}}
}

// TestEntriesThatGo replays entries that go with and without an outage of the store.
func TestEntriesThatGo(t *testing.T) {
	const until = 3200 * clock.Millisecond
	tests := map[string]struct {
		draining bool
		until    clock.Millis
		after    clock.Millis
		usable   bool
	}{
		"gone while the store is steady":       {usable: false},
		"lapsed in an outage":                  {until: until, usable: true},
		"lapsed, not back in its time":         {until: until, after: 2300, usable: false},
		"lapsed, but it was leaving":           {until: until, draining: true, usable: false},
		"lapsed, a moment before the deadline": {until: until, after: 2100, usable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := roster.New()
			first := entry("s", 1)
			first.Draining = test.draining
			servers.Put(first)
			servers.Remove(clock.Second, "s", test.until)
			now := clock.Second + test.after
			require.Equal(t, test.usable, len(servers.Of(now, "engines")) == 1)
			servers.Expire(now)
			_, known := servers.Server("s")
			require.Equal(t, test.usable, known)
		})
	}
}

func TestLapsedEntryComesBack(t *testing.T) {
	servers := roster.New()
	servers.Put(entry("s", 1))
	servers.Replace(0, nil, clock.Second)
	servers.Put(entry("s", 2))
	servers.Expire(clock.Minute)
	require.Len(t, servers.Of(clock.Minute, "engines"), 1)
}

// TestOlderEntryIsPassedOver holds that a list which is older than a change does not
// undo it.
func TestOlderEntryIsPassedOver(t *testing.T) {
	servers := roster.New()
	newer := entry("s", 5)
	newer.Draining = true
	servers.Put(newer)
	servers.Put(entry("s", 4))
	require.Empty(t, servers.Of(0, "engines"), "a leaving server gets no new requests")
}

// TestHeardWeightsOutliveOlderEntries holds that an entry which lags behind an
// engine's own word does not undo it, and that a new start of the engine does.
func TestHeardWeightsOutliveOlderEntries(t *testing.T) {
	servers := roster.New()
	servers.Put(entry("s", 1))
	servers.Weights("s", "m", 3)
	servers.Put(entry("s", 2))
	server, _ := servers.Server("s")
	require.Equal(t, int64(3), server.Entry.Weights["m"])
	reborn := entry("s", 3)
	reborn.Born = 2
	servers.Put(reborn)
	server, _ = servers.Server("s")
	require.Equal(t, int64(1), server.Entry.Weights["m"])
}

func TestDownServerIsChecked(t *testing.T) {
	servers := roster.New()
	servers.Put(entry("s", 1))
	require.True(t, servers.Unreachable(0, "s"), "it is news")
	require.False(t, servers.Unreachable(0, "s"), "it is no news")
	require.Empty(t, servers.Due(100))
	require.Len(t, servers.Due(600), 1)
	require.Empty(t, servers.Due(700), "a check is under way")
	servers.Result(800, "s", false)
	require.Empty(t, servers.Due(5000))
}

// TestDoubt holds that a peer's word does not overrule an attempt that has just ended
// well.
func TestDoubt(t *testing.T) {
	servers := roster.New()
	servers.Put(entry("s", 1))
	servers.Result(1000, "s", false)
	require.False(t, servers.Doubted(1200, "s"))
	require.True(t, servers.Doubted(1600, "s"))
	server, _ := servers.Server("s")
	require.True(t, server.Down())
}

func TestErrorRateFades(t *testing.T) {
	servers := roster.New()
	servers.Put(entry("s", 1))
	for range 20 {
		servers.Result(0, "s", true)
	}
	server, _ := servers.Server("s")
	require.Greater(t, server.ErrorRate(0), 0.9)
	require.Less(t, server.ErrorRate(10*clock.Second), 0.2)
}
