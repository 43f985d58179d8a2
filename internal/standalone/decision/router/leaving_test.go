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

// leavesWithin is how soon a leaving server gets no new work after its leaving
// is published.
const leavesWithin = 3 * clock.Second

// TestLeavingServerGetsNoNewWork publishes that a server leaves, under each
// fault that leaves the platform in reach, while requests go to it.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for _, name := range append(slices.Sorted(maps.Keys(faults)), "") {
		if strings.Contains(name, "platform") || strings.Contains(name, "both") || name == "list late" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			fleet := newMatrixFleet(1, false)
			leaving := fleet.Servers["engine-a"]
			send := func() { fleet.Send("a-1", testkit.Verdict(promptTokens, maxTokens)) }
			for at := clock.Millis(0); at < 10*clock.Second; at += 100 {
				fleet.After(at, send)
			}
			fleet.RunFor(clock.Second)
			require.NotEmpty(t, leaving.RunsOf, "the server must have had work")
			leaving.Leave()
			if name != "" {
				faults[name](fleet)
			}
			fleet.RunFor(leavesWithin)
			before := len(leaving.RunsOf)
			fleet.RunFor(10 * clock.Second)
			require.Equal(t, before, len(leaving.RunsOf))
		})
	}
}
