package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestLeavingServerGetsNoNewRequests lets a server say in its responses that it leaves, while
// its entry in the store does not, or is away and comes back.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		entry func(c *cluster, s *server)
		// back reports whether the server gets requests again.
		back bool
	}{
		"the entry stays ready": {entry: func(*cluster, *server) {}},
		"a newer entry is ready": {entry: func(c *cluster, s *server) {
			s.entry.Revision++
			c.step(0, forwarder.ServerChanged{Entry: s.entry})
		}},
		"the entry is removed and put again": {entry: func(c *cluster, s *server) {
			c.step(0, forwarder.ServerChanged{Entry: s.entry, Removed: true})
			s.entry.Revision += 2
			c.step(0, forwarder.ServerChanged{Entry: s.entry})
		}},
		"the servers are listed again": {entry: func(c *cluster, _ *server) { c.listServers(0) }},
		"the store is away": {entry: func(c *cluster, _ *server) {
			c.storeCutOff[0] = true
			c.step(0, forwarder.StoreFailed{Detail: "test"})
		}},
		"it starts again under its name": {back: true, entry: func(c *cluster, s *server) {
			s.leaving = false
			s.entry.StartedAt++
			s.entry.Revision++
			c.step(0, forwarder.ServerChanged{Entry: s.entry})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			s := c.servers["r0"]
			c.sendLookups(40)
			require.NotEmpty(t, c.requestsTo("r0", 0))
			s.leaving = true
			for len(c.receivedNotices) == 0 {
				c.sendLookups(1)
			}
			seen := c.now
			test.entry(c, s)
			c.sendLookups(250)
			require.Equal(t, test.back, len(c.requestsTo("r0", seen)) > 0)
			c.run(3 * clock.Second)
			c.checkInvariants()
		})
	}
}

// TestLeavingIsPassedOn verifies that instances which had no response from the leaving server
// send it nothing either, soon after another one has learned of it.
func TestLeavingIsPassedOn(t *testing.T) {
	t.Parallel()
	for name, scale := range scales {
		t.Run(name, func(t *testing.T) {
			c := newClusterIn(t, 1, scale.instances, scale.domains)
			c.run(2 * clock.Second)
			c.step(0, forwarder.ServerNotice{Server: "r0", StartedAt: 1, Leaving: true})
			c.run(1500 * clock.Millisecond)
			seen := c.now
			c.sendLookups(max(60, scale.instances))
			require.Empty(t, c.requestsTo("r0", seen))
		})
	}
}

// TestNoticeOfEarlierStart verifies that a notice about a server that has started again since
// doesn't concern it.
func TestNoticeOfEarlierStart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	s := c.servers["r0"]
	s.entry.StartedAt, s.entry.Revision = 2, 2
	for i := range c.instances {
		c.step(i, forwarder.ServerChanged{Entry: s.entry})
	}
	c.step(0, forwarder.ServerNotice{Server: "r0", StartedAt: 1, Leaving: true})
	c.run(500)
	c.sendLookups(60)
	require.NotEmpty(t, c.requestsTo("r0", 0))
}

// TestLeavingAgainUnderTheSameName verifies that a server which says that it leaves, to an
// instance that does not know of its latest start yet, gets no requests once that is listed.
func TestLeavingAgainUnderTheSameName(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.keepOnly("r0")
	c.step(0, forwarder.ServerChanged{Entry: c.servers["r1"].entry})
	s := c.servers["r0"]
	s.leaving = true
	s.entry.StartedAt, s.entry.Revision = 2, 2
	c.sendLookups(20)
	require.NotEmpty(t, c.receivedNotices)
	c.run(c.settings[0].Bounds.ServerDrain)
	listed := c.now
	c.step(0, forwarder.ServerChanged{Entry: s.entry})
	c.sendLookups(200)
	require.Empty(t, c.requestsTo("r0", listed))
}

// TestLastServerLeaves verifies that where no other server is left, a leaving one gets
// requests for as long as it is sure to serve them, and that they are refused at once later.
func TestLastServerLeaves(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.keepOnly("r0")
	c.servers["r0"].leaving = true
	c.step(0, forwarder.ServerNotice{Server: "r0", StartedAt: 1, Leaving: true})
	early := c.sendLookups(5)
	c.run(300)
	for _, id := range early {
		require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction, id)
	}
	c.run(c.settings[0].Bounds.ServerDrain)
	id := c.sendRequest(0, "lookup")
	c.requireRefused(id)
	require.Zero(t, c.requests[id].attempts)
}

// TestStreamsMoveFromLeavingEngines verifies that resumable streams move to other engines
// before theirs stops, and that others stay.
func TestStreamsMoveFromLeavingEngines(t *testing.T) {
	t.Parallel()
	leave := map[string]func(c *cluster, s *server){
		"says so": func(c *cluster, s *server) {
			c.step(0, forwarder.ServerNotice{Server: s.entry.ID, StartedAt: s.entry.StartedAt, Leaving: true})
		},
		"is listed as draining": func(c *cluster, s *server) {
			s.entry.Draining = true
			s.entry.Revision++
			c.step(0, forwarder.ServerChanged{Entry: s.entry})
		},
	}
	for name, start := range leave {
		for kindName, test := range map[string]struct {
			kind  string
			queue clock.Millis
			moves bool
		}{"stream": {"stream", 0, true}, "stream, others have queues": {"stream", 900, true}, "once": {"once", 0, false}} {
			t.Run(name+", "+kindName, func(t *testing.T) {
				c := newCluster(t, 3, 1)
				c.streamDuration = 2300
				first := c.sendRequest(0, test.kind)
				for range 12 {
					c.sendRequest(0, test.kind)
				}
				c.run(100)
				s := c.servers[c.requests[first].lastDispatch.Server]
				there := c.requestsTo(s.entry.ID, 0)
				s.leaving = true
				start(c, s)
				c.run(500)
				for _, id := range there {
					require.Equal(t, 1, c.requests[id].attempts, "short streams have time to end")
				}
				c.streamDuration, c.firstEventDelays = 400, map[string]clock.Millis{"once": 2 * clock.Second}
				c.fillQueues(test.queue)
				c.run(c.settings[0].Bounds.ServerDrain - 700)
				for _, id := range there {
					require.Equal(t, test.moves, c.requests[id].lastDispatch.Server != s.entry.ID, id)
				}
				c.run(12 * clock.Second)
				c.checkInvariants()
				require.InDelta(t, 1, c.servedFraction(), 0)
			})
		}
	}
}
