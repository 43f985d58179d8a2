package forwarder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// burstResult are the results of one kind of request in a burst.
type burstResult struct {
	sent, served int
	refused      string
}

// burstDuration is the time for which an engine runs a request.
const burstDuration = 400 * clock.Millisecond

// runBurst sends urgent prompts ("stream") below the capacity of the engines, and less urgent ones
// ("once") at 2.6 times their usual rate for 7 s. Engines with other listed slots than 16 have 16
// nevertheless, and take 4 more.
func runBurst(t *testing.T, instances, domains, listedSlots int, disturb func(c *cluster)) (*cluster, map[string]burstResult) {
	t.Helper()
	c := newClusterIn(t, 1, instances, domains)
	c.streamDuration = burstDuration
	c.limitRoom("engines", 16, 4, listedSlots)
	disturb(c)
	state := newDesiredState(2)
	team := state.Teams["press"]
	team.Rate, team.Burst = 100*team.Rate, 100*team.Burst
	state.Teams["press"] = team
	for i, route := range state.Routes {
		if route.Name == "stream" {
			state.Routes[i].Priority = 0
		}
	}
	for i := range c.instances {
		c.step(i, forwarder.StateRead{State: state, ConfirmedAt: c.now})
		c.listServers(i)
	}
	capacity := float64(max(6, instances/2)*16) / float64(burstDuration)
	sendSome := func(kind string, share float64) {
		for range c.arrivals(2 * 20 * capacity * share) {
			c.sendRequest(c.random.IntN(len(c.instances)), kind)
		}
	}
	send := func(time clock.Millis, less float64) {
		for range time / 20 {
			sendSome("stream", 0.4)
			sendSome("once", less)
			c.run(20)
		}
	}
	send(2*clock.Second, 0.4)
	first := len(c.requests)
	send(7*clock.Second, 0.4*2.6)
	c.run(5 * clock.Second)
	results, refused := map[string]burstResult{}, map[string]map[forwarder.Reason]int{"stream": {}, "once": {}}
	for id, r := range c.requests {
		var index int
		_, err := fmt.Sscan(id[strings.LastIndex(id, "-")+1:], &index)
		require.NoError(t, err)
		if index < first {
			continue
		}
		result := results[r.kind]
		result.sent++
		switch final := r.finalAction.(type) {
		case forwarder.ForwardResponse:
			result.served++
		case forwarder.Refuse:
			refused[r.kind][final.Reason]++
			result.refused = fmt.Sprint(refused[r.kind])
			if final.Reason == forwarder.ReasonNoCapacity {
				require.Positive(t, final.RetryAfter, id)
				require.Equal(t, 503, final.Status, id)
			}
		}
		results[r.kind] = result
	}
	c.checkInvariants()
	return c, results
}

// TestBurstOfLessUrgentPrompts guards against engines that reject urgent requests because they are
// full of less urgent ones. Without known slots, nothing is held back, as before.
func TestBurstOfLessUrgentPrompts(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		instances, domains int
		urgentServed       float64
		disturb            func(c *cluster)
	}{
		"7 instances":  {7, 3, 0.98, func(*cluster) {}},
		"67 instances": {67, 3, 0.95, func(*cluster) {}},
		// Rejections show the load of the other half.
		"8 instances, half cut off": {8, 2, 0.9, func(c *cluster) {
			c.cut = func(from, to int) bool { return from%2 != to%2 }
		}},
		"7 instances that have just started": {7, 3, 0.98, func(c *cluster) {
			for i := range c.instances {
				c.startInstance(i)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, without := runBurst(t, test.instances, test.domains, 0, test.disturb)
			c, with := runBurst(t, test.instances, test.domains, 16, test.disturb)
			t.Logf("without admission: %+v", without)
			t.Logf("with admission: %+v", with)
			require.Greater(t, float64(with["stream"].served), test.urgentServed*float64(with["stream"].sent))
			require.Greater(t, with["stream"].served, without["stream"].served)
			// The engines must not idle while requests are refused.
			served := with["stream"].served + with["once"].served
			require.Greater(t, float64(served), 0.9*float64(max(6, test.instances/2)*16*7000)/float64(burstDuration))
			for i, instance := range c.instances {
				require.Zero(t, instance.StatusAt(c.now).WaitingForCapacity, "instance %d", i)
			}
		})
	}
}
