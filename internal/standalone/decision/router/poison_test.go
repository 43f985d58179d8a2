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

// newPoisonFleet returns a fleet with two engines in each domain, all of which crash
// when they run the poison request.
func newPoisonFleet(seed uint64) *testkit.Fleet {
	fleet := newMatrixFleet(seed, false)
	for _, domain := range []string{"a", "b", "c"} {
		fleet.AddEngine("engine-"+domain+"2", domain, "verdict")
	}
	fleet.RunFor(3 * clock.Second)
	for _, server := range fleet.Servers {
		server.Poison = "poison"
	}
	return fleet
}

func poisonRequest() event.RequestArrived {
	request := testkit.Verdict(100, 20)
	request.Fingerprint = "poison"
	return request
}

func harmlessRequest(number int) event.RequestArrived {
	request := testkit.Verdict(100, 20)
	request.Fingerprint = fmt.Sprintf("harmless %d", number)
	request.Chain = []uint64{uint64(number)}
	return request
}

// countCrashes returns the number of server crashes by domain and in total.
func countCrashes(fleet *testkit.Fleet) (byDomain map[string]int, total int) {
	byDomain = map[string]int{}
	for name, server := range fleet.Servers {
		byDomain[name[len("engine-"):][:1]] += server.Crashes
		total += server.Crashes
	}
	return byDomain, total
}

// TestPoisonRequestIsConvicted sends a request that crashes engines among harmless
// ones, at different times, and again through every instance. The harmless requests
// must be answered; the poison request must be refused at once and not run again.
func TestPoisonRequestIsConvicted(t *testing.T) {
	for seed := range uint64(20) {
		fleet := newPoisonFleet(seed)
		var harmless []*testkit.Request
		for i := range 60 {
			fleet.After(clock.Millis(i), func() {
				harmless = append(harmless, fleet.Send([]string{"a-1", "a-2"}[i%2], harmlessRequest(i)))
			})
		}
		fleet.After(clock.Millis(10+seed), func() { fleet.Send("a-1", poisonRequest()) })
		fleet.RunFor(10 * clock.Second)
		for _, request := range harmless {
			require.True(t, request.Answered(), "seed %d: a harmless request got %+v", seed, request.Refusal)
		}
		_, before := countCrashes(fleet)
		require.LessOrEqual(t, before, maxCrashesPerDomain, "seed %d", seed)
		for _, node := range []string{"a-1", "a-2", "b-1", "c-1"} {
			sentAt := fleet.Now
			request := fleet.Send(node, poisonRequest())
			fleet.RunFor(clock.Second)
			require.True(t, request.Refused(), "seed %d, instance %s", seed, node)
			require.Equal(t, action.CodeCrashesServers, request.Refusal.Code)
			require.Zero(t, request.Refusal.RetryAfter, "the refusal must be final")
			require.Equal(t, sentAt, request.EndedAt, "the refusal must be immediate")
		}
		_, after := countCrashes(fleet)
		require.Equal(t, before, after, "a convicted request must not run")
	}
}

// sendPoisonRequests sends the same poison request through four instances in three
// domains, with the gap between them.
func sendPoisonRequests(gap clock.Millis) *testkit.Fleet {
	fleet := newPoisonFleet(uint64(gap))
	for i, node := range []string{"a-1", "b-1", "c-1", "a-2"} {
		fleet.After(clock.Millis(i)*gap, func() { fleet.Send(node, poisonRequest()) })
	}
	fleet.RunFor(10 * clock.Second)
	return fleet
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
