package forwarder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// connectTimeout is the time that connecting takes to fail while a server's queue of new
// connections is full.
const connectTimeout = 250 * clock.Millisecond

// checkHealth simulates a health check.
func (c *cluster) checkHealth(i int, check forwarder.CheckHealth) {
	delay := 3 * clock.Millisecond
	if cut, isCut := c.cutFrom(i, check.Server); isCut {
		failsAfter, refused := cut.failConnect()
		c.after(failsAfter, func() {
			c.step(i, forwarder.HealthChecked{Server: check.Server, BeganAt: check.BeganAt, Unreachable: true, Gone: refused})
		})
		return
	}
	if c.servers[check.Server].queueFull {
		delay = connectTimeout
	}
	c.after(delay, func() {
		s := c.servers[check.Server]
		declined := c.sendNotice(i, s, check.StartedAt)
		unreachable := s.down || s.queueFull
		c.step(i, forwarder.HealthChecked{Server: check.Server, BeganAt: check.BeganAt, Healthy: !unreachable && !declined && !s.leaving, Unreachable: unreachable, Gone: s.down})
	})
}

// linesWith returns the log lines that contain all of the texts.
func (c *cluster) linesWith(texts ...string) []string {
	var lines []string
	for _, line := range c.logLines {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line+" ", text+" ")
		}
		if matches {
			lines = append(lines, line)
		}
	}
	return lines
}

// TestConnectTimeoutBlamesNoRequest interrupts a request at several servers that can't be
// reached right afterwards, and verifies that it counts as the cause only if they refuse
// connections. The peers learn of either.
func TestConnectTimeoutBlamesNoRequest(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		set     func(s *server, unreachable bool)
		blocked bool
	}{
		"connects time out":       {func(s *server, unreachable bool) { s.queueFull = unreachable }, false},
		"connections are refused": {func(s *server, unreachable bool) { s.down = unreachable }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClusterIn(t, 1, 3, 1)
			setAll := func(unreachable bool) {
				for _, s := range c.servers {
					if s.entry.Service == "records" {
						test.set(s, unreachable)
					}
				}
			}
			for n := range 8 {
				id := fmt.Sprint("interrupted-", n)
				c.requests[id] = &request{instance: 0, kind: "lookup"}
				c.faultPercents[forwarder.OutcomeInterrupted] = 100
				c.step(0, forwarder.RequestArrived{Request: forwarder.Request{ID: id, Host: host, Method: "GET", Path: "/lookup/x", Key: secret.New(goodKey), CallerTimeout: 2500, Fingerprint: "same"}})
				c.run(10)
				setAll(true)
				c.run(700)
				c.faultPercents[forwarder.OutcomeInterrupted] = 0
				setAll(false)
				c.run(3 * clock.Second)
			}
			interruptedAt := 0
			for id := range c.servers {
				if len(c.linesWith("attemptFailed", "server="+id, "failure=cut")) > 0 {
					interruptedAt++
				}
			}
			require.GreaterOrEqual(t, interruptedAt, 3, "as many servers as block a request if they crash")
			require.Equal(t, test.blocked, len(c.linesWith("blocked")) > 0, strings.Join(c.logLines, "\n"))
			require.NotEmpty(t, c.linesWith("edge-0", "serverRecovered"))
			require.NotEmpty(t, c.linesWith("edge-1", "serverRecovered"), "the peers were told that a server can't be reached")
		})
	}
}

// TestConnectTimeoutForgetsNoCache verifies that an engine that can't be reached is avoided
// until its next health check, and that its cache is known to be lost only if it refuses
// connections.
func TestConnectTimeoutForgetsNoCache(t *testing.T) {
	t.Parallel()
	const engine = "e0"
	ways := map[string]func(c *cluster, gone bool){
		"attempt": func(c *cluster, gone bool) {
			s := c.servers[engine]
			s.down, s.queueFull = gone, !gone
			for range 200 {
				if len(c.linesWith("attemptFailed", "server="+engine, "failure=unsent")) > 0 {
					break
				}
				c.sendRequest(0, "stream")
				c.run(20)
			}
			require.NotEmpty(c.t, c.linesWith("attemptFailed", "server="+engine, "failure=unsent"))
			s.down, s.queueFull = false, false
		},
		"health check": func(c *cluster, gone bool) {
			c.step(0, forwarder.HealthChecked{Server: engine, Unreachable: true, Gone: gone})
		},
		"report": func(c *cluster, gone bool) {
			c.step(0, forwarder.EngineReported{Server: engine, Report: rollout.Report{Failed: true, Unreachable: true, Gone: gone}})
		},
		// A server that refuses connections after a connect timeout has crashed after all.
		"connect timeout, then health check": func(c *cluster, gone bool) {
			c.step(0, forwarder.HealthChecked{Server: engine, Unreachable: true})
			c.step(0, forwarder.HealthChecked{Server: engine, Unreachable: true, Gone: gone})
		},
	}
	for name, fail := range ways {
		for _, gone := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gone %v", name, gone), func(t *testing.T) {
				c := newCluster(t, 1, 1)
				for range 60 {
					c.sendRequest(0, "stream")
					c.run(30)
				}
				c.run(2 * clock.Second)
				c.logLines = nil
				fail(c, gone)
				chosenBefore := len(c.linesWith("routeChosen", "server="+engine))
				for range 10 {
					c.sendRequest(0, "stream")
					c.run(20)
				}
				require.Len(t, c.linesWith("routeChosen", "server="+engine), chosenBefore, "it is avoided")
				c.run(3 * clock.Second)
				require.NotEmpty(t, c.linesWith("serverRecovered", "server="+engine))
				require.Equal(t, gone, len(c.linesWith("cacheReadAnew", "server="+engine)) > 0, strings.Join(c.linesWith("server="+engine), "\n"))
			})
		}
	}
}
