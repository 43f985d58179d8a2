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
	// crashesInDomain and crashesInAll bound the crashes that one request causes.
	crashesInDomain = 2
	crashesInAll    = 3
)

// newPoisonedFleet returns a fleet with two engines in each domain, all of which
// the poison crashes.
func newPoisonedFleet(seed uint64) *testkit.Fleet {
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

func poison() event.RequestArrived {
	request := testkit.Verdict(100, 20)
	request.Fingerprint = "poison"
	return request
}

func innocent(number int) event.RequestArrived {
	request := testkit.Verdict(100, 20)
	request.Fingerprint = fmt.Sprintf("innocent %d", number)
	request.Chain = []uint64{uint64(number)}
	return request
}

// crashes returns how many crashes the poison caused, by domain and in all.
func crashes(fleet *testkit.Fleet) (byDomain map[string]int, all int) {
	byDomain = map[string]int{}
	for name, server := range fleet.Servers {
		byDomain[name[len("engine-"):][:1]] += server.Crashes
		all += server.Crashes
	}
	return byDomain, all
}

// TestPoisonIsConvictedAndInnocentsAnswered sends a request that crashes engines
// among others, at several instants, and again through every instance.
func TestPoisonIsConvictedAndInnocentsAnswered(t *testing.T) {
	for seed := range uint64(20) {
		fleet := newPoisonedFleet(seed)
		var innocents []*testkit.Request
		for i := range 60 {
			fleet.After(clock.Millis(i), func() {
				innocents = append(innocents, fleet.Send([]string{"a-1", "a-2"}[i%2], innocent(i)))
			})
		}
		fleet.After(clock.Millis(10+seed), func() { fleet.Send("a-1", poison()) })
		fleet.RunFor(10 * clock.Second)
		for _, request := range innocents {
			require.True(t, request.Answered(), "seed %d: an innocent got %+v", seed, request.Refusal)
		}
		_, before := crashes(fleet)
		require.LessOrEqual(t, before, crashesInDomain, "seed %d", seed)
		for _, node := range []string{"a-1", "a-2", "b-1", "c-1"} {
			sent := fleet.Now
			request := fleet.Send(node, poison())
			fleet.RunFor(clock.Second)
			require.True(t, request.Refused(), "seed %d, instance %s", seed, node)
			require.Equal(t, action.CodeCrashesServers, request.Refusal.Code)
			require.Zero(t, request.Refusal.RetryAfter, "the refusal is final")
			require.Equal(t, sent, request.EndedAt, "the refusal comes at once")
		}
		_, after := crashes(fleet)
		require.Equal(t, before, after, "a convicted request must not run")
	}
}

// sendPoison sends the same poison through four instances in three domains, the
// gap apart.
func sendPoison(gap clock.Millis) *testkit.Fleet {
	fleet := newPoisonedFleet(uint64(gap))
	for i, node := range []string{"a-1", "b-1", "c-1", "a-2"} {
		fleet.After(clock.Millis(i)*gap, func() { fleet.Send(node, poison()) })
	}
	fleet.RunFor(10 * clock.Second)
	return fleet
}

func TestPoisonCrashesFewServersOfADomain(t *testing.T) {
	for gap := range clock.Millis(60) {
		byDomain, _ := crashes(sendPoison(gap))
		for domain, count := range byDomain {
			require.LessOrEqual(t, count, crashesInDomain, "domain %s, gap %s", domain, gap)
		}
	}
}

// TestPoisonCrashesFewServersInAll holds the crashes over all domains, for poison
// that comes to the domains one after the other and at once.
func TestPoisonCrashesFewServersInAll(t *testing.T) {
	for _, gap := range []clock.Millis{0, 1, 2, 5, 10, 20, 40, 100, 1000} {
		t.Run(gap.String(), func(t *testing.T) {
			byDomain, all := crashes(sendPoison(gap))
			require.LessOrEqual(t, all, crashesInAll, "by domain: %v", byDomain)
		})
	}
}
