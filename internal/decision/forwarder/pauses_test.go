package forwarder_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// pause lets a server decline everything for a time.
func (c *cluster) pause(id string, duration clock.Millis) {
	c.servers[id].pausedUntil = c.now.Add(duration)
}

// TestPausedServerGetsNothing lets servers ask for a pause, also while engines must load new
// weights, and verifies that none gets a call until its end, while others take the requests.
func TestPausedServerGetsNothing(t *testing.T) {
	t.Parallel()
	const pause = 2500 * clock.Millisecond
	for server, kind := range map[string]string{"r0": "lookup", "e0": "stream"} {
		t.Run(kind, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			c.pause(server, pause)
			for len(c.receivedNotices) == 0 {
				c.sendRequest(0, kind)
				c.run(10)
			}
			seen := c.now
			c.publishWeights()
			for c.now < c.servers[server].pausedUntil {
				c.sendRequest(0, kind)
				c.run(20)
			}
			for _, at := range c.callsTo(server, 0, seen.Add(10)) {
				require.GreaterOrEqual(t, at, c.servers[server].pausedUntil, "a call to the paused server")
			}
			for range 150 {
				c.sendRequest(0, kind)
				c.run(20)
			}
			require.NotEmpty(t, c.callsTo(server, 0, c.servers[server].pausedUntil), "it gets calls again")
			c.run(4 * clock.Second)
			c.checkInvariants()
			require.GreaterOrEqual(t, c.servedFraction(), 0.99)
		})
	}
}

// TestPausesAddUp verifies that a later pause extends an earlier one, and that a shorter one
// does not end it sooner.
func TestPausesAddUp(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ first, second, quiet clock.Millis }{
		"longer":  {1000, 2500, 2500},
		"shorter": {2500, 600, 2500},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			start := c.now
			c.step(0, forwarder.ServerNotice{Server: "r0", StartedAt: 1, Pause: test.first})
			c.step(0, forwarder.ServerNotice{Server: "r0", StartedAt: 1, Pause: test.second})
			for c.now < start.Add(test.quiet) {
				c.sendLookups(1)
			}
			require.Empty(t, c.callsTo("r0", 0, start))
			c.sendLookups(250)
			require.NotEmpty(t, c.callsTo("r0", 0, start))
		})
	}
}

// TestAllServersPause verifies that a request is refused at once with the time until the
// first server returns, and that it waits for that server if it returns soon enough.
func TestAllServersPause(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		shortest clock.Millis
		served   bool
	}{"long": {1800, false}, "short": {250, true}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			for id := range c.servers {
				pause := 4 * clock.Second
				if id == "r1" {
					pause = test.shortest
				}
				c.step(0, forwarder.ServerNotice{Server: id, StartedAt: 1, Pause: pause})
			}
			id := c.sendRequest(0, "lookup")
			if test.served {
				c.run(clock.Second)
				require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction, c.logOf(id))
				return
			}
			refusal := c.requireRefused(id)
			require.Equal(t, c.requests[id].sentAt, c.now, "at once")
			require.GreaterOrEqual(t, refusal.RetryAfter, test.shortest)
			require.Less(t, refusal.RetryAfter, test.shortest+1500)
		})
	}
}

// TestPausesEndApart verifies that instances which were asked for the same pause do not return
// to the server at the same moment.
func TestPausesEndApart(t *testing.T) {
	t.Parallel()
	const pause = 2 * clock.Second
	c := newCluster(t, 1, 7)
	c.keepOnly("r0")
	start := c.now
	for i := range c.instances {
		c.step(i, forwarder.ServerNotice{Server: "r0", StartedAt: 1, Pause: pause})
	}
	c.run(pause - 300)
	for c.now < start.Add(pause+clock.Second) {
		for i := range c.instances {
			c.sendRequest(i, "lookup")
		}
		c.run(20)
	}
	first := map[clock.Millis]bool{}
	for i := range c.instances {
		calls := c.callsTo("r0", i, start)
		require.NotEmpty(t, calls)
		require.GreaterOrEqual(t, calls[0], start.Add(pause))
		first[calls[0].Since(start)/50] = true
	}
	require.GreaterOrEqual(t, len(first), 3, "first calls, in units of 50 ms: %v", first)
}

// TestInvalidPause verifies that a pause that can't be used is counted and otherwise ignored.
func TestInvalidPause(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	start := c.now
	c.step(0, forwarder.ServerNotice{Server: "r0", StartedAt: 1, InvalidPause: "Fri, 31 Dec 1999 23:59:59 GMT"})
	c.sendLookups(60)
	require.NotEmpty(t, c.callsTo("r0", 0, start))
	require.True(t, slices.ContainsFunc(c.logLines, func(line string) bool { return strings.Contains(line, "serverPauseInvalid") }))
}
