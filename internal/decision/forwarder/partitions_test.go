package forwarder_test

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
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
