package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestStreamsMoveFromLoadingEngines replays new weights while long streams run: those
// that can go on elsewhere leave the engines that wait for them, if there is budget for
// that, and the others stay.
func TestStreamsMoveFromLoadingEngines(t *testing.T) {
	for name, want := range map[string]struct {
		kind   string
		budget float64
		moves  bool
	}{
		"can go on":            {"stream", 1, true},
		"can't go on":          {"once", 1, false},
		"without a retry left": {"stream", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t, 3, 1)
			place := w.settings[0]
			place.Bounds.RetryRatio, place.Bounds.RetryExtra = want.budget, 0
			w.settings[0] = place
			w.startInstance(0)
			w.run(300)
			w.streamDuration, w.loadDuration = 1300, 3*clock.Second
			first := map[string]string{}
			for range 12 {
				id := w.sendRequest(0, want.kind)
				first[id] = w.requests[id].lastDispatch.Server
			}
			w.run(50)
			w.publishWeights()
			w.run(700)
			for id := range first {
				require.Equal(t, 1, w.requests[id].attempts, "the usual streams end in that time")
			}
			w.run(400)
			loading := map[string]bool{}
			for _, s := range w.servers {
				loading[s.entry.ID] = s.acceptedOrders > 0
			}
			moved := 0
			for id, server := range first {
				r := w.requests[id]
				if r.attempts > 1 {
					moved++
					require.True(t, loading[server], "%s leaves %s", id, server)
					require.False(t, loading[r.lastDispatch.Server])
				} else if want.moves {
					require.False(t, loading[server], "%s stays at %s", id, server)
				}
			}
			require.Equal(t, want.moves, moved > 0)
			w.run(8 * clock.Second)
			w.checkInvariants()
			require.InDelta(t, 1, w.servedFraction(), 0)
		})
	}
}
