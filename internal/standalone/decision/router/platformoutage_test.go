package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// grantingInstances returns the instances of the domain that grant tokens now, by the
// name of the shard's lease.
func grantingInstances(cluster *testkit.Cluster, domain string) map[string][]string {
	byLease := map[string][]string{}
	for name, instance := range cluster.Instances {
		if name[:1] != domain || !instance.Up {
			continue
		}
		for _, lease := range instance.Router.Status(cluster.Now).Leases {
			if lease.Grants {
				byLease[lease.Lease] = append(byLease[lease.Lease], name)
			}
		}
	}
	return byLease
}

// TestSingleHolderDuringOutages pauses an instance during an outage of the platform,
// with varying pauses and with the platform recovering before or after them. No two
// instances may grant tokens of the same shard at one time.
func TestSingleHolderDuringOutages(t *testing.T) {
	for _, paused := range []string{"a-1", "a-2"} {
		for recovery := clock.Second; recovery <= 12*clock.Second; recovery += 700 {
			for pauseEnd := clock.Second; pauseEnd <= 14*clock.Second; pauseEnd += 900 {
				cluster := newMatrixCluster(1, false)
				cluster.Platform.Down = true
				cluster.AfterFunc(2*clock.Second, cluster.Instances[paused].Pause)
				cluster.AfterFunc(2*clock.Second+recovery, func() { cluster.Platform.Down = false })
				cluster.AfterFunc(2*clock.Second+pauseEnd, cluster.Instances[paused].Resume)
				for range 400 {
					cluster.RunFor(50 * clock.Millisecond)
					for lease, names := range grantingInstances(cluster, "a") {
						if len(names) > 1 {
							t.Fatalf("paused %s, recovery after %s, pause end after %s: %s has the holders %v at %s", paused, recovery, pauseEnd, lease, names, cluster.Now)
						}
					}
				}
				require.Len(t, grantingInstances(cluster, "a"), 4, "every shard must have a holder again")
			}
		}
	}
}

// TestPausedHolderIgnoresStaleHeartbeat delivers a heartbeat that was sent before a
// holder's pause to the holder when it resumes. The holder must not keep granting
// because of the stale report in it that the platform is down.
func TestPausedHolderIgnoresStaleHeartbeat(t *testing.T) {
	cluster := newMatrixCluster(1, false)
	cluster.Platform.Down = true
	cluster.RunFor(2 * outageDuration)
	for _, names := range grantingInstances(cluster, "a") {
		holder := cluster.Instances[names[0]]
		peer := map[string]string{"a-1": "a-2", "a-2": "a-1"}[names[0]]
		staleHeartbeat := &peerv1.Heartbeat{Domain: "a", Address: peer, Incarnation: "1", PlatformDown: true, Sequence: 1 << 40}
		resumedAt := cluster.Now.Add(10 * clock.Second)
		holder.Router.Step(resumedAt, event.PeerMessage{From: peer, Message: &peerv1.Message{Body: &peerv1.Message_Heartbeat{Heartbeat: staleHeartbeat}}})
		for _, lease := range holder.Router.Status(resumedAt).Leases {
			require.False(t, lease.Grants, "%s grants %s", names[0], lease.Lease)
		}
	}
}
