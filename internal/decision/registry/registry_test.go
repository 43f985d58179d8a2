package registry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

func entry(id string, revision int64) registry.Entry {
	return registry.Entry{ID: id, Service: "engines", Address: "10.0.0.1:80", Domain: "a", StartedAt: 1, Revision: revision, WeightVersions: map[string]int64{"m": 1}}
}

// TestRemovedEntries removes entries with and without an outage of the store.
func TestRemovedEntries(t *testing.T) {
	const expiresAt = 3200 * clock.Millisecond
	tests := map[string]struct {
		draining  bool
		expiresAt clock.Millis
		after     clock.Millis
		usable    bool
	}{
		"removed without an outage":             {usable: false},
		"expired during an outage":              {expiresAt: expiresAt, usable: true},
		"expired, not put again in time":        {expiresAt: expiresAt, after: 2300, usable: false},
		"expired while draining":                {expiresAt: expiresAt, draining: true, usable: false},
		"expired, shortly before it is dropped": {expiresAt: expiresAt, after: 2100, usable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := registry.New()
			first := entry("s", 1)
			first.Draining = test.draining
			servers.Put(first)
			servers.Remove(clock.Second, "s", test.expiresAt)
			now := clock.Second + test.after
			require.Equal(t, test.usable, len(servers.Available(now, "engines")) == 1)
			servers.Expire(now)
			_, known := servers.Server("s")
			require.Equal(t, test.usable, known)
		})
	}
}

func TestExpiredEntryIsPutAgain(t *testing.T) {
	servers := registry.New()
	servers.Put(entry("s", 1))
	servers.Replace(0, nil, clock.Second)
	servers.Put(entry("s", 2))
	servers.Expire(clock.Minute)
	require.Len(t, servers.Available(clock.Minute, "engines"), 1)
}

// TestOlderEntryIsIgnored verifies that an entry of a list which is older than a change
// does not undo the change.
func TestOlderEntryIsIgnored(t *testing.T) {
	servers := registry.New()
	newer := entry("s", 5)
	newer.Draining = true
	servers.Put(newer)
	servers.Put(entry("s", 4))
	require.Empty(t, servers.Available(0, "engines"), "a draining server gets no new requests")
}

// TestNewerWeightsAreKept verifies that an entry which is older than the version in an
// engine's responses does not replace that version, but that a restart of the engine
// does.
func TestNewerWeightsAreKept(t *testing.T) {
	servers := registry.New()
	servers.Put(entry("s", 1))
	servers.SetWeightVersion("s", "m", 3)
	servers.Put(entry("s", 2))
	server, _ := servers.Server("s")
	require.Equal(t, int64(3), server.Entry.WeightVersions["m"])
	restarted := entry("s", 3)
	restarted.StartedAt = 2
	servers.Put(restarted)
	server, _ = servers.Server("s")
	require.Equal(t, int64(1), server.Entry.WeightVersions["m"])
}

func TestDownServerIsChecked(t *testing.T) {
	servers := registry.New()
	servers.Put(entry("s", 1))
	require.True(t, servers.MarkUnreachable(0, "s"), "the server was up")
	require.False(t, servers.MarkUnreachable(0, "s"), "the server was down already")
	require.Empty(t, servers.DueHealthChecks(100))
	require.Len(t, servers.DueHealthChecks(600), 1)
	require.Empty(t, servers.DueHealthChecks(700), "a check is in progress")
	servers.RecordResult(800, "s", false)
	require.Empty(t, servers.DueHealthChecks(5000))
}

// TestPeerReportAfterOwnAttempt verifies that a peer's report of an unreachable server is
// ignored shortly after an attempt of this instance has reached it.
func TestPeerReportAfterOwnAttempt(t *testing.T) {
	servers := registry.New()
	servers.Put(entry("s", 1))
	servers.RecordResult(1000, "s", false)
	require.False(t, servers.MarkReportedUnreachable(1200, "s", 0))
	require.True(t, servers.MarkReportedUnreachable(1600, "s", 0))
	server, _ := servers.Server("s")
	require.True(t, server.Down())
}

func TestErrorRateDecays(t *testing.T) {
	servers := registry.New()
	servers.Put(entry("s", 1))
	for range 20 {
		servers.RecordResult(0, "s", true)
	}
	server, _ := servers.Server("s")
	require.Greater(t, server.ErrorRate(0), 0.9)
	require.Less(t, server.ErrorRate(10*clock.Second), 0.2)
}
