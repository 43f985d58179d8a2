package router_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// leaveDelay is the time after which a leaving server must not get new requests once
// its departure is in the instance list.
const leaveDelay = 3 * clock.Second

// TestLeavingServerGetsNoNewRequests marks a server as leaving while it serves
// requests, under each fault that leaves the platform reachable.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	for _, name := range append(slices.Sorted(maps.Keys(faults)), "") {
		if strings.Contains(name, "platform") || strings.Contains(name, "both") || name == "list late" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			cluster := newMatrixCluster(1, false)
			leaving := cluster.Servers["engine-a"]
			send := func() { cluster.Send("a-1", testkit.ModelRequest(promptTokens, maxTokens)) }
			for at := clock.Millis(0); at < 10*clock.Second; at += 100 {
				cluster.AfterFunc(at, send)
			}
			cluster.RunFor(clock.Second)
			require.NotEmpty(t, leaving.RunsByRequest, "the server must have run requests before")
			leaving.MarkLeaving()
			if name != "" {
				faults[name](cluster)
			}
			cluster.RunFor(leaveDelay)
			before := len(leaving.RunsByRequest)
			cluster.RunFor(10 * clock.Second)
			require.Equal(t, before, len(leaving.RunsByRequest))
		})
	}
}
