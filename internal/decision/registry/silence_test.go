package registry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
)

// TestSilenceDoesNotMarkServerAsUp verifies that a silent attempt raises the error rate, and
// leaves a server down that could not be reached.
func TestSilenceDoesNotMarkServerAsUp(t *testing.T) {
	servers := registry.New()
	servers.Put(registry.Entry{ID: "s", Service: "engines"})
	servers.MarkUnreachable(1000, "s")
	servers.RecordSilence(1200, "s")
	server, _ := servers.Server("s")
	require.True(t, server.Down())
	require.Positive(t, server.ErrorRate(1200))
	require.False(t, servers.MarkUnreachable(1300, "s"), "it was down before")
}
