package registry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestNoticeBeforeEntry verifies that a notice holds for a server that is listed later, and
// only for the start that it names.
func TestNoticeBeforeEntry(t *testing.T) {
	servers := registry.New()
	require.True(t, servers.MarkLeaving(clock.Second, "s", 1, false))
	require.False(t, servers.MarkLeaving(2*clock.Second, "s", 1, false), "it is known")
	servers.Put(entry("s", 1))
	require.Empty(t, servers.Available(0, "engines"))
	require.Len(t, servers.Leaving(2*clock.Second, "engines", 2*clock.Second), 1)
	require.Empty(t, servers.Leaving(3*clock.Second, "engines", 2*clock.Second))
	again := entry("s", 2)
	again.StartedAt = 2
	servers.Put(again)
	require.Len(t, servers.Available(0, "engines"), 1)
	older := entry("s", 3)
	servers.Put(older)
	require.Empty(t, servers.Available(0, "engines"), "the entry of the earlier start is back")
}

// TestManyNotices verifies that the notices of listed servers are kept, however many others
// there are.
func TestManyNotices(t *testing.T) {
	servers := registry.New()
	servers.Put(entry("s", 1))
	servers.MarkLeaving(clock.Second, "s", 1, false)
	for i := range 10_000 {
		servers.MarkLeaving(clock.Millis(1000+i), fmt.Sprint("other-", i), 1, false)
	}
	servers.Remove(clock.Minute, "s", 0)
	servers.Put(entry("s", 2))
	require.Empty(t, servers.Available(clock.Minute, "engines"))
	require.False(t, servers.MarkLeaving(clock.Minute, "other-9999", 1, false), "the latest is kept")
	require.True(t, servers.MarkLeaving(clock.Minute, "other-0", 1, false), "the oldest is dropped")
}
