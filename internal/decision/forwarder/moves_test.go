package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestStreamsMoveFromLoadingEngines publishes new weights while long streams run.
// Resumable streams must move away from the engines that wait for them, within the
// retry budget, and all others must stay.
func TestStreamsMoveFromLoadingEngines(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]struct {
		kind   string
		budget float64
		moves  bool
	}{
		"resumable":            {"stream", 1, true},
		"not resumable":        {"once", 1, false},
		"without retry budget": {"stream", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			settings := c.settings[0]
			settings.Bounds.RetryRatio, settings.Bounds.RetryExtra = want.budget, 0
			c.settings[0] = settings
			c.startInstance(0)
			c.run(300)
			c.streamDuration, c.loadDuration = 1300, 3*clock.Second
			firstServer := map[string]string{}
			for range 12 {
				id := c.sendRequest(0, want.kind)
				firstServer[id] = c.requests[id].lastDispatch.Server
			}
			c.run(50)
			c.publishWeights()
			c.run(700)
			for id := range firstServer {
				require.Equal(t, 1, c.requests[id].attempts, "no stream moves before usual ones have ended")
			}
			c.run(400)
			loading := map[string]bool{}
			for _, s := range c.servers {
				loading[s.entry.ID] = s.acceptedOrders > 0
			}
			moved := 0
			for id, server := range firstServer {
				r := c.requests[id]
				if r.attempts > 1 {
					moved++
					require.True(t, loading[server], "%s moves away from %s", id, server)
					require.False(t, loading[r.lastDispatch.Server])
				} else if want.moves {
					require.False(t, loading[server], "%s stays at %s", id, server)
				}
			}
			require.Equal(t, want.moves, moved > 0)
			c.run(8 * clock.Second)
			c.checkInvariants()
			require.InDelta(t, 1, c.servedFraction(), 0)
		})
	}
}

// TestRefusedMoveDoesNotCutStream lets streams move from engines that are to load new weights, or that
// leave, while no other engine takes them.
func TestRefusedMoveDoesNotCutStream(t *testing.T) {
	t.Parallel()
	refusals := map[string]func(s *server){
		"its weights have changed": func(s *server) { s.entry = s.entry.WithWeightVersion(model, 7) },
		"it is full":               func(s *server) { s.room = &room{} },
		"it is silent":             func(s *server) { s.queue = 10 * clock.Second },
		"it is down":               func(s *server) { s.down = true },
	}
	for name, refuse := range refusals {
		for _, test := range []struct {
			name           string
			leaves, drains bool
		}{{name: "loading"}, {name: "loading, in a stop", drains: true}, {name: "leaving", leaves: true}, {name: "leaving, in a stop", leaves: true, drains: true}} {
			t.Run(test.name+", "+name, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 3, 1)
				c.timeout = 12 * clock.Second
				c.settings[0].Bounds.RetryRatio, c.settings[0].Bounds.RetryExtra = 1, 100
				c.startInstance(0)
				c.run(2 * clock.Second)
				c.eventGap = func() clock.Millis { return 110 }
				c.loadDuration = 3 * clock.Second
				firstServer := map[string]string{}
				for range 12 {
					id := c.sendRequest(0, "stream")
					firstServer[id] = c.requests[id].lastDispatch.Server
				}
				c.run(100)
				left := map[string]bool{}
				if test.leaves {
					s := c.servers[firstServer["stream-0"]]
					left[s.entry.ID] = true
					c.step(0, forwarder.ServerNotice{Server: s.entry.ID, StartedAt: s.entry.StartedAt, Leaving: true})
				} else {
					c.publishWeights()
				}
				c.run(300)
				if test.drains {
					c.step(0, forwarder.DrainRequested{ListenUntil: c.now.Add(listenTime), StopAt: c.now.Add(4 * clock.Second)})
				}
				for id, s := range c.servers {
					if left[id] = left[id] || s.acceptedOrders > 0; !left[id] {
						refuse(s)
					}
				}
				c.run(6 * clock.Second)
				tried := 0
				for id, server := range firstServer {
					if left[server] {
						tried += c.requests[id].attempts - 1
						require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction, c.logOf(id))
					}
				}
				require.Positive(t, tried, "other engines are tried")
			})
		}
	}
}

// TestBegunStreamIsTriedThoughQueuesAreLong interrupts a stream while the queues of the other engines
// are estimated to be longer than its time. To refuse it would cut it.
func TestBegunStreamIsTriedThoughQueuesAreLong(t *testing.T) {
	t.Parallel()
	for name, begun := range map[string]bool{"begun": true, "not begun": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			c.settings[0].Bounds.RetryRatio, c.settings[0].Bounds.RetryExtra = 1, 100
			c.startInstance(0)
			c.run(300)
			c.timeout, c.streamDuration, c.firstEventDelays = 2*clock.Second, clock.Second, map[string]clock.Millis{"once": 8 * clock.Second}
			if !begun {
				c.firstEventDelays["stream"] = 400
			}
			id := c.sendRequest(0, "stream")
			c.run(100)
			c.fillQueues(2100)
			c.run(10)
			r := c.requests[id]
			c.step(0, forwarder.AttemptEnded{Request: id, Attempt: r.lastDispatch.Attempt, Outcome: forwarder.OutcomeInterrupted, Delivered: begun, LastEventID: "1"})
			c.run(2 * clock.Second)
			require.Equal(t, begun, r.attempts > 1, c.logOf(id))
			if begun {
				require.IsType(t, forwarder.ForwardResponse{}, r.finalAction, c.logOf(id))
			}
		})
	}
}
