package router_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// maxCrashesPerDomain and maxCrashesTotal are the limits of the crashes that one
	// request may cause.
	maxCrashesPerDomain = 2
	maxCrashesTotal     = 3
)

// newPoisonCluster returns a cluster with two engines in each domain, all of which
// crash when they run the poison request.
func newPoisonCluster(seed uint64) *testkit.Cluster {
	cluster := newMatrixCluster(seed, false)
	for _, domain := range []string{"a", "b", "c"} {
		cluster.AddEngine("engine-"+domain+"2", domain, "verdict")
	}
	cluster.RunFor(3 * clock.Second)
	for _, server := range cluster.Servers {
		server.PoisonFingerprint = "poison"
	}
	return cluster
}

func poisonRequest() event.RequestArrived {
	request := testkit.ModelRequest(100, 20)
	request.Fingerprint = "poison"
	return request
}

func harmlessRequest(number int) event.RequestArrived {
	request := testkit.ModelRequest(100, 20)
	request.Fingerprint = fmt.Sprintf("harmless %d", number)
	request.Chain = []uint64{uint64(number)}
	return request
}

// countCrashes returns the number of server crashes by domain and in total.
func countCrashes(cluster *testkit.Cluster) (byDomain map[string]int, total int) {
	byDomain = map[string]int{}
	for name, server := range cluster.Servers {
		byDomain[name[len("engine-"):][:1]] += server.Crashes
		total += server.Crashes
	}
	return byDomain, total
}

// TestPoisonRequestIsBlocked sends a request that crashes engines among harmless
// ones, at different times, and again through every instance. The harmless requests
// must be answered; the poison request must be refused at once and not run again.
func TestPoisonRequestIsBlocked(t *testing.T) {
	for seed := range uint64(20) {
		cluster := newPoisonCluster(seed)
		var harmless []*testkit.Request
		for i := range 60 {
			cluster.AfterFunc(clock.Millis(i), func() {
				harmless = append(harmless, cluster.Send([]string{"a-1", "a-2"}[i%2], harmlessRequest(i)))
			})
		}
		cluster.AfterFunc(clock.Millis(10+seed), func() { cluster.Send("a-1", poisonRequest()) })
		cluster.RunFor(10 * clock.Second)
		for _, request := range harmless {
			require.True(t, request.HasResponse(), "seed %d: a harmless request got %+v", seed, request.Refusal)
		}
		_, before := countCrashes(cluster)
		require.LessOrEqual(t, before, maxCrashesPerDomain, "seed %d", seed)
		for _, instance := range []string{"a-1", "a-2", "b-1", "c-1"} {
			sentAt := cluster.Now
			request := cluster.Send(instance, poisonRequest())
			cluster.RunFor(clock.Second)
			require.True(t, request.Refused(), "seed %d, instance %s", seed, instance)
			require.Equal(t, action.CodeCrashesServers, request.Refusal.Code)
			require.Zero(t, request.Refusal.RetryAfter, "the refusal must be final")
			require.Equal(t, sentAt, request.EndedAt, "the refusal must be immediate")
		}
		_, after := countCrashes(cluster)
		require.Equal(t, before, after, "a blocked request must not run")
	}
}

// sendPoisonRequests sends the same poison request through four instances in three
// domains, with the gap between them.
func sendPoisonRequests(gap clock.Millis) *testkit.Cluster {
	cluster := newPoisonCluster(uint64(gap))
	for i, instance := range []string{"a-1", "b-1", "c-1", "a-2"} {
		cluster.AfterFunc(clock.Millis(i)*gap, func() { cluster.Send(instance, poisonRequest()) })
	}
	cluster.RunFor(10 * clock.Second)
	return cluster
}

// TestPoisonRequestCrashLimitPerDomain verifies the limit of crashes in each domain,
// for a poison request that reaches the domains at different intervals.
func TestPoisonRequestCrashLimitPerDomain(t *testing.T) {
	for gap := range clock.Millis(60) {
		byDomain, _ := countCrashes(sendPoisonRequests(gap))
		for domain, count := range byDomain {
			require.LessOrEqual(t, count, maxCrashesPerDomain, "domain %s, gap %s", domain, gap)
		}
	}
}

// TestPoisonRequestCrashLimitTotal verifies the limit of crashes over all domains, for
// a poison request that reaches the domains at the same time or one after the other.
func TestPoisonRequestCrashLimitTotal(t *testing.T) {
	for _, gap := range []clock.Millis{0, 1, 2, 5, 10, 20, 40, 100, 1000} {
		t.Run(gap.String(), func(t *testing.T) {
			byDomain, total := countCrashes(sendPoisonRequests(gap))
			require.LessOrEqual(t, total, maxCrashesTotal, "by domain: %v", byDomain)
		})
	}
}
