package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// cutMode is what happens to the connections between an instance and servers in a cut.
type cutMode int

const (
	// channelsHang lets connects and open connections hang until they time out.
	channelsHang cutMode = iota
	// channelsReset refuses connects and resets open connections.
	channelsReset
	// channelsLive refuses connects and keeps open connections.
	channelsLive
)

// hangTime is the time after which a connection that hangs is given up.
const hangTime = 4 * clock.Second

// serverCut is a time in which an instance can't reach servers.
type serverCut struct {
	index        int
	mode         cutMode
	since, until clock.Millis
	// only are the servers that can't be reached; nil for all.
	only map[string]bool
}

// cutServers cuts instances off from servers for some time.
func (c *cluster) cutServers(instances []int, mode cutMode, duration clock.Millis, only map[string]bool) {
	for _, i := range instances {
		c.serverCuts = append(c.serverCuts, serverCut{index: i, mode: mode, since: c.now, until: c.now.Add(duration), only: only})
	}
}

// cutFrom returns the cut that separates an instance from a server at this time.
func (c *cluster) cutFrom(i int, server string) (serverCut, bool) {
	for _, cut := range c.serverCuts {
		if cut.index == i && c.now >= cut.since && c.now < cut.until && (cut.only == nil || cut.only[server]) {
			return cut, true
		}
	}
	return serverCut{}, false
}

// failConnect returns the time until a connect fails in the cut, and whether it is refused.
func (cut serverCut) failConnect() (clock.Millis, bool) {
	if cut.mode == channelsHang {
		return connectTimeout, false
	}
	return 1, true
}

// breaks reports whether the cut breaks connections that were open before.
func (cut serverCut) breaks() bool { return cut.mode != channelsLive }

// endAttempt ends an attempt that began at startedAt on a connection from the instance at index
// from, which a cut may break meanwhile.
func (c *cluster) endAttempt(from int, server string, ended forwarder.AttemptEnded, startedAt clock.Millis, deliver func(forwarder.AttemptEnded)) {
	cut, broken := c.cutFrom(from, server)
	if !broken || !cut.breaks() || cut.since < startedAt || ended.Outcome == forwarder.OutcomeNotSent {
		deliver(ended)
		return
	}
	interrupted := forwarder.AttemptEnded{Request: ended.Request, Attempt: ended.Attempt, Outcome: forwarder.OutcomeInterrupted, Delivered: ended.Delivered, LastEventID: ended.LastEventID}
	if cut.mode == channelsReset {
		deliver(interrupted)
		return
	}
	c.after(cut.since.Add(hangTime).Since(c.now), func() { deliver(interrupted) })
}

// simulatedTunnel is a tunnel through another instance, at index to.
type simulatedTunnel struct {
	to int
	// openedAt is the time at which the other instance decided to open it.
	openedAt clock.Millis
	done     func(verdict tunnelverdict.Verdict, referral string)
}

// tunnelTimeout is the time after which an instance does not wait for a tunnel any more.
const tunnelTimeout = 600 * clock.Millisecond

// openTunnel asks another instance for a connection to a server and passes the verdict to done, with
// the tunnel's name and the index of the instance.
func (c *cluster) openTunnel(i int, hop forwarder.Hop, request forwarder.TunnelRequested, done func(tunnel string, to int, verdict tunnelverdict.Verdict, referral string)) {
	to := c.instanceAt(hop.Address)
	request.Tunnel, request.From = fmt.Sprint("tunnel-", c.tunnelCount), c.settings[i].PeerAddress
	c.tunnelCount++
	answered := false
	answer := func(verdict tunnelverdict.Verdict, referral string) {
		if !answered {
			answered = true
			c.verdicts[verdict]++
			done(request.Tunnel, to, verdict, referral)
		}
	}
	switch {
	case to < 0 || c.stopped[to]:
		c.after(2, func() { answer(tunnelverdict.Unavailable, "") })
		return
	case c.cut != nil && c.cut(i, to):
		c.after(connectTimeout, func() { answer(tunnelverdict.Unavailable, "") })
		return
	}
	c.tunnels[request.Tunnel] = simulatedTunnel{to: to, done: answer}
	c.after(tunnelTimeout, func() {
		if !answered {
			c.endTunnel(request.Tunnel)
		}
		answer(tunnelverdict.Unavailable, "")
	})
	c.after(1, func() { c.step(to, request) })
}

func (c *cluster) endTunnel(id string) {
	if tunnel, ok := c.tunnels[id]; ok {
		delete(c.tunnels, id)
		c.step(tunnel.to, forwarder.TunnelEnded{Tunnel: id})
	}
}

// refuseTunnel answers a request for a tunnel.
func (c *cluster) refuseTunnel(refusal forwarder.RefuseTunnel) {
	tunnel := c.tunnels[refusal.Tunnel]
	delete(c.tunnels, refusal.Tunnel)
	c.after(1, func() {
		if tunnel.done != nil {
			tunnel.done(refusal.Verdict, refusal.Referral)
		}
	})
}

// connectTunnel connects the instance at index i to a server for another instance.
func (c *cluster) connectTunnel(i int, open forwarder.OpenTunnel) {
	delay, verdict := c.connect(i, open.Server)
	if opened, ok := c.tunnels[open.Tunnel]; ok {
		opened.openedAt = c.now
		c.tunnels[open.Tunnel] = opened
	}
	c.after(delay, func() {
		c.step(i, forwarder.TunnelConnected{Tunnel: open.Tunnel, Verdict: verdict})
		if verdict != tunnelverdict.Reached {
			return
		}
		tunnel, waiting := c.tunnels[open.Tunnel]
		if open.Probe {
			c.endTunnel(open.Tunnel)
		}
		if waiting {
			c.after(1, func() { tunnel.done(verdict, "") })
		}
	})
}

// connect returns the time that a connect takes, and its outcome.
func (c *cluster) connect(i int, id string) (clock.Millis, tunnelverdict.Verdict) {
	s := c.servers[id]
	cut, isCut := c.cutFrom(i, id)
	switch {
	case isCut:
		delay, refused := cut.failConnect()
		if refused {
			return delay, tunnelverdict.Refused
		}
		return delay, tunnelverdict.Unanswered
	case s.down:
		return 2, tunnelverdict.Refused
	case s.queueFull:
		return connectTimeout, tunnelverdict.Unanswered
	default:
		return 2, tunnelverdict.Reached
	}
}

// probePath connects to a server without a request.
func (c *cluster) probePath(i int, probe forwarder.ProbePath) {
	probed := forwarder.PathProbed{Server: probe.Server, StartedAt: probe.StartedAt, Via: probe.Via, BeganAt: probe.BeganAt}
	if probe.Via.Direct() {
		if _, isCut := c.cutFrom(i, probe.Server); isCut {
			c.directProbes++
		}
		delay, verdict := c.connect(i, probe.Server)
		probed.Verdict = verdict
		c.after(delay, func() { c.step(i, probed) })
		return
	}
	request := forwarder.TunnelRequested{Server: probe.Server, StartedAt: probe.StartedAt, Probe: true}
	c.openTunnel(i, probe.Via, request, func(_ string, _ int, verdict tunnelverdict.Verdict, referral string) {
		probed.Verdict, probed.Referral = verdict, referral
		c.step(i, probed)
	})
}

// dispatchThrough sends a request through another instance.
func (c *cluster) dispatchThrough(i int, dispatch forwarder.Dispatch, s *server, r *request) {
	request := forwarder.TunnelRequested{Server: dispatch.Server, StartedAt: dispatch.StartedAt, Timeout: dispatch.Timeout, Limited: dispatch.Limited}
	c.openTunnel(i, dispatch.Via, request, func(tunnel string, to int, verdict tunnelverdict.Verdict, referral string) {
		if verdict != tunnelverdict.Reached {
			c.step(i, forwarder.AttemptEnded{Request: dispatch.Request, Attempt: dispatch.Attempt, Outcome: forwarder.OutcomeNotSent, Verdict: verdict, Referral: referral, Delivered: r.partDelivered, LastEventID: "1"})
			return
		}
		if r.finalActions > 0 || c.stopped[i] {
			c.endTunnel(tunnel)
			return
		}
		c.contacts = append(c.contacts, contact{at: c.now, decidedAt: c.tunnels[tunnel].openedAt, instance: c.instances[to], index: to, server: dispatch.Server, startedAt: s.entry.StartedAt, request: dispatch.Request})
		c.serve(i, to, dispatch, s, r, func() { c.endTunnel(tunnel) })
	})
}

// TestCrashesAreNotTakenForPartition lets all plain servers but one crash at the same time, at an
// instance that reaches no other one, and verifies that it goes on at the last one, and at the
// engines, by its own connections.
func TestCrashesAreNotTakenForPartition(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 3)
	c.cut = func(from, to int) bool { return from == 0 || to == 0 }
	c.run(3 * clock.Second)
	for _, id := range []string{"r0", "r1", "r2", "r3", "r4"} {
		c.servers[id].down = true
	}
	for range 20 {
		c.sendRequest(0, "lookup")
		c.run(5)
	}
	c.run(clock.Second)
	for _, kind := range []string{"lookup", "stream"} {
		for range 10 {
			id := c.sendRequest(0, kind)
			c.run(300)
			require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction, c.logOf(id))
			require.True(t, c.requests[id].lastDispatch.Via.Direct())
		}
	}
}
