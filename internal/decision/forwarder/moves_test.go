package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestStreamsMoveFromLoadingEngines publishes new weights while long streams run.
// Resumable streams must move away from the engines that wait for them, within the
// retry budget, and all others must stay.
func TestStreamsMoveFromLoadingEngines(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]struct {
		kind   string
		budget float64
		moves  bool
	}{
		"resumable":            {"stream", 1, true},
		"not resumable":        {"once", 1, false},
		"without retry budget": {"stream", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			settings := c.settings[0]
			settings.Bounds.RetryRatio, settings.Bounds.RetryExtra = want.budget, 0
			c.settings[0] = settings
			c.startInstance(0)
			c.run(300)
			c.streamDuration, c.loadDuration = 1300, 3*clock.Second
			firstServer := map[string]string{}
			for range 12 {
				id := c.sendRequest(0, want.kind)
				firstServer[id] = c.requests[id].lastDispatch.Server
			}
			c.run(50)
			c.publishWeights()
			c.run(700)
			for id := range firstServer {
				require.Equal(t, 1, c.requests[id].attempts, "no stream moves before usual ones have ended")
			}
			c.run(400)
			loading := map[string]bool{}
			for _, s := range c.servers {
				loading[s.entry.ID] = s.acceptedOrders > 0
			}
			moved := 0
			for id, server := range firstServer {
				r := c.requests[id]
				if r.attempts > 1 {
					moved++
					require.True(t, loading[server], "%s moves away from %s", id, server)
					require.False(t, loading[r.lastDispatch.Server])
				} else if want.moves {
					require.False(t, loading[server], "%s stays at %s", id, server)
				}
			}
			require.Equal(t, want.moves, moved > 0)
			c.run(8 * clock.Second)
			c.checkInvariants()
			require.InDelta(t, 1, c.servedFraction(), 0)
		})
	}
}
