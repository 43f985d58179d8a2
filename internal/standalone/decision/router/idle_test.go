package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestIdleClusterPlatformCallRate verifies that the platform calls of idle instances
// stay within a part of the platform's rate limits: several hundred writes and about
// two thousand reads per second for 380 instances in 12 failure domains.
func TestIdleClusterPlatformCallRate(t *testing.T) {
	const (
		instances       = 3
		domains         = 3
		targetInstances = 380
		targetDomains   = 12
		readsPerSecond  = 2000
		writesPerSecond = 300
		seconds         = 60
	)
	cluster := newCluster(1, 3000, 30000)
	reads, writes := cluster.Platform.Reads, cluster.Platform.Writes
	cluster.RunFor(seconds * clock.Second)
	reads = cluster.Platform.Reads - reads
	writes = cluster.Platform.Writes - writes
	require.Less(t, reads*targetInstances, readsPerSecond*seconds*instances, "reads of the platform")
	require.Less(t, writes*targetDomains, writesPerSecond*seconds*domains, "writes to the platform")
	t.Logf("reads per second and instance: %.2f, writes per second and domain: %.2f", float64(reads)/seconds/instances, float64(writes)/seconds/domains)
}
