package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// holders returns the instances of the domain that would grant tokens now, by
// the shard of the rights.
func holders(fleet *testkit.Fleet, domain string) map[string][]string {
	found := map[string][]string{}
	for name, node := range fleet.Nodes {
		if name[:1] != domain || !node.Up {
			continue
		}
		for _, lease := range node.Machine.Status(fleet.Now).Leases {
			if lease.Grants {
				found[lease.Lease] = append(found[lease.Lease], name)
			}
		}
	}
	return found
}

// TestOneHolderThroughOutages pauses an instance during an outage of the
// platform, for any time, and lets the platform come back meanwhile: no shard
// has two holders that go on.
func TestOneHolderThroughOutages(t *testing.T) {
	for _, frozen := range []string{"a-1", "a-2"} {
		for back := clock.Second; back <= 12*clock.Second; back += 700 {
			for thaw := clock.Second; thaw <= 14*clock.Second; thaw += 900 {
				fleet := newMatrixFleet(1, false)
				fleet.Platform.Down = true
				fleet.After(2*clock.Second, fleet.Nodes[frozen].Freeze)
				fleet.After(2*clock.Second+back, func() { fleet.Platform.Down = false })
				fleet.After(2*clock.Second+thaw, fleet.Nodes[frozen].Thaw)
				for range 400 {
					fleet.RunFor(50 * clock.Millisecond)
					for lease, names := range holders(fleet, "a") {
						if len(names) > 1 {
							t.Fatalf("frozen %s, back %s, thaw %s: %s has the holders %v at %s", frozen, back, thaw, lease, names, fleet.Now)
						}
					}
				}
				require.Len(t, holders(fleet, "a"), 4, "every shard must have a holder again")
			}
		}
	}
}

// TestPausedHolderDoesNotTrustOldWord gives a holder that was paused during an
// outage a heartbeat that was sent before: it must not go on by it.
func TestPausedHolderDoesNotTrustOldWord(t *testing.T) {
	fleet := newMatrixFleet(1, false)
	fleet.Platform.Down = true
	fleet.RunFor(2 * outage)
	for _, names := range holders(fleet, "a") {
		holder := fleet.Nodes[names[0]]
		other := map[string]string{"a-1": "a-2", "a-2": "a-1"}[names[0]]
		old := &peerv1.Heartbeat{Domain: "a", Address: other, Incarnation: "1", PlatformDown: true, Sequence: 1 << 40}
		wake := fleet.Now.Add(10 * clock.Second)
		holder.Machine.Step(wake, event.PeerMessage{From: other, Message: &peerv1.Message{Body: &peerv1.Message_Heartbeat{Heartbeat: old}}})
		for _, lease := range holder.Machine.Status(wake).Leases {
			require.False(t, lease.Grants, "%s grants %s", names[0], lease.Lease)
		}
	}
}
