package forwarder_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var limitSeeds = flag.Int("limit-seeds", 0, "number of seeds of TestServerLimitsUnderFaults for each size of the cluster")

// fewLimitSeeds are the numbers of seeds without the flag.
var fewLimitSeeds = map[string]int{"7 instances": 4, "67 instances": 1}

// limitPeriod is a time in which a server names a limit. firstNamed is the time of the first
// such response; 0 for none.
type limitPeriod struct {
	server     string
	startedAt  int64
	limit      float64
	firstNamed clock.Millis
	endsAt     clock.Millis
}

// nameLimit delivers the limit in the head of a server's response.
func (c *cluster) nameLimit(i int, s *server, dispatch forwarder.Dispatch) {
	if s.down || s.queueFull || s.entry.StartedAt != dispatch.StartedAt || (s.limit == nil && !dispatch.Limited) {
		return
	}
	notice := forwarder.ServerNotice{Server: dispatch.Server, StartedAt: dispatch.StartedAt, NamesNoLimit: s.limit == nil}
	if s.limit != nil {
		notice.HasLimit, notice.Limit = true, limitsharer.PerSecond(s.limit.limit)
		if s.limit.firstNamed == 0 {
			s.limit.firstNamed = c.now
		}
	}
	instance := c.instances[i]
	c.afterPause(i, 1, func() {
		key := callKey{instance, dispatch.Server, dispatch.StartedAt}
		if _, known := c.limitsReceived[key]; notice.HasLimit && !known {
			c.limitsReceived[key] = c.now
		}
		if c.instances[i] == instance {
			c.step(i, notice)
		}
	})
}

// limitServer lets a server name a limit for some time.
func (c *cluster) limitServer(s *server, limit float64, duration clock.Millis) {
	if s.limit != nil || s.down {
		return
	}
	period := &limitPeriod{server: s.entry.ID, startedAt: s.entry.StartedAt, limit: limit, endsAt: c.now.Add(duration)}
	s.limit = period
	c.limitPeriods = append(c.limitPeriods, period)
	c.after(duration, func() { s.limit = nil })
}

// limitService does the same for all servers of a service.
func (c *cluster) limitService(service string, limit float64, duration clock.Millis) {
	for _, id := range c.serverIDs() {
		if c.servers[id].entry.Service == service {
			c.limitServer(c.servers[id], limit, duration)
		}
	}
}

// callsInPeriod returns the times of the calls to the server from the time at which its limit
// binds: all of them, and those that count, of instances in touch that had received the limit
// half a second before.
func (c *cluster) callsInPeriod(period *limitPeriod) (all, counted []clock.Millis) {
	for _, called := range c.contacts {
		if called.server != period.server || called.startedAt != period.startedAt || called.at < period.firstNamed.Add(stableWindow) || called.at >= period.endsAt {
			continue
		}
		all = append(all, called.at)
		receivedAt, received := c.limitsReceived[callKey{called.instance, period.server, period.startedAt}]
		if received && called.at >= receivedAt.Add(500) && called.at > c.disturbedUntil[called.index].Add(stableWindow) {
			counted = append(counted, called.at)
		}
	}
	return all, counted
}

// checkLimits verifies that no server got more calls than its limit allows, and returns
// the calls that the servers got and those that they could have taken.
func (c *cluster) checkLimits() (got, could float64) {
	c.t.Helper()
	worst := 0.0
	for _, period := range c.limitPeriods {
		if period.firstNamed == 0 || period.endsAt < period.firstNamed.Add(stableWindow) {
			continue
		}
		all, times := c.callsInPeriod(period)
		allowed := 1.5*period.limit*4 + 5
		for first := range times {
			last, _ := slices.BinarySearch(times, times[first].Add(4*clock.Second))
			worst = max(worst, float64(last-first)/allowed)
			require.LessOrEqual(c.t, float64(last-first), allowed, "%s, started at %d, limit %.1f: calls in 4 s from %s", period.server, period.startedAt, period.limit, times[first])
		}
		if c.servers[period.server].entry.StartedAt == period.startedAt && !c.servers[period.server].down {
			got += float64(len(all))
			could += period.limit * float64(period.endsAt.Since(period.firstNamed.Add(stableWindow))) / 1000
		}
	}
	c.t.Logf("%d limits; at most %.2f of what is allowed; servers got %.0f calls of %.0f that they could take; %.3f served", len(c.limitPeriods), worst, got, could, c.servedFraction())
	return got, could
}

// TestServerLimitsUnderFaults lets servers name limits while instances are killed, suspended
// and cut off, servers crash, new weights are loaded, and datagrams get lost.
func TestServerLimitsUnderFaults(t *testing.T) {
	t.Parallel()
	for name, scale := range scales {
		for seed := range uint64(max(*limitSeeds, fewLimitSeeds[name])) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				c := newClusterIn(t, seed, scale.instances, scale.domains)
				c.lossPercent = 2
				for step := range 200 {
					for range c.arrivals(4 + float64(len(c.instances))/6) {
						c.sendRequest(c.random.IntN(len(c.instances)), kinds[c.random.IntN(len(kinds))])
					}
					c.run(100)
					if step == 60 {
						c.limitService("records", 2, 12*clock.Second)
					}
					c.oneIn(6, func() {
						c.limitServer(c.randomServer(), 0.5+6*c.random.Float64(), clock.Millis(6000+c.random.IntN(8000)))
					})
					if seed%2 == 0 || step > 150 {
						continue
					}
					c.oneIn(20, c.restartInstance)
					c.oneIn(40, c.pauseInstance)
					c.oneIn(50, c.cutNetwork)
					c.oneIn(20, c.crashServer)
					c.oneIn(50, c.publishWeights)
				}
				c.run(5 * clock.Second)
				c.checkInvariants()
				c.checkLimits()
			})
		}
	}
}

// TestLimitedServersAreUsed lets all servers of a service name limits, whose sum is below the
// load. They must get most of what they take, and the other requests must be refused at once,
// or after a short wait, with the most urgent ones served.
func TestLimitedServersAreUsed(t *testing.T) {
	t.Parallel()
	for name, scale := range scales {
		if scale.instances > 100 && *limitSeeds == 0 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			c := newClusterIn(t, 1, scale.instances, scale.domains)
			c.limitService("records", 3, 19*clock.Second)
			for range 200 {
				for range 3 + scale.instances/20 {
					c.sendRequest(c.random.IntN(len(c.instances)), "lookup")
				}
				c.run(100)
			}
			c.run(3 * clock.Second)
			got, could := c.checkLimits()
			require.Greater(t, got, 0.6*could)
			for id, r := range c.requests {
				if refusal, refused := r.finalAction.(forwarder.Refuse); refused && refusal.Reason == forwarder.ReasonNoServer {
					require.Positive(t, refusal.RetryAfter, "%s", id)
				}
			}
		})
	}
}
