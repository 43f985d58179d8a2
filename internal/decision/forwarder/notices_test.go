package forwarder_test

import (
	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// contact is a call of an instance to a server; request is empty for the instance's own calls.
type contact struct {
	at clock.Millis
	// decidedAt is the time at which the instance decided to make it.
	decidedAt clock.Millis
	instance  *forwarder.Forwarder
	index     int
	server    string
	startedAt int64
	request   string
}

// receivedNotice is a notice that an instance received from a server.
type receivedNotice struct {
	at          clock.Millis
	instance    *forwarder.Forwarder
	server      string
	startedAt   int64
	leaving     bool
	pausedUntil clock.Millis
}

// recordContact records a call to a server.
func (c *cluster) recordContact(i int, action forwarder.Action) {
	called := contact{at: c.now, decidedAt: c.now, instance: c.instances[i], index: i}
	switch action := action.(type) {
	case forwarder.Dispatch:
		if !action.Via.Direct() {
			return
		}
		called.server, called.request = action.Server, action.Request
	case forwarder.CheckHealth:
		called.server = action.Server
	case forwarder.ReadCache:
		called.server = action.Read.Server
	case forwarder.CallEngine:
		switch step := action.Step.(type) {
		case rollout.RequestReport:
			called.server = step.Server
		case rollout.Order:
			called.server = step.Server
		}
	}
	if s, ok := c.servers[called.server]; ok && !s.down && called.server != scheduler.StoreID {
		called.startedAt = s.entry.StartedAt
		c.contacts = append(c.contacts, called)
	}
}

// sendNotice delivers what the head of the server's response says, to an instance that knows the
// server as it started at startedAt. It reports whether the server declines the call because
// of a pause.
func (c *cluster) sendNotice(i int, s *server, startedAt int64) bool {
	pause := max(0, s.pausedUntil.Since(c.now))
	if s.down || s.queueFull || (!s.leaving && pause == 0) {
		return false
	}
	// A suspended instance learns of it at its return.
	at := max(c.now, c.pausedUntil[i])
	c.receivedNotices = append(c.receivedNotices, receivedNotice{at: at, instance: c.instances[i], server: s.entry.ID, startedAt: s.entry.StartedAt, leaving: s.leaving, pausedUntil: c.now.Add(pause)})
	c.step(i, forwarder.ServerNotice{Server: s.entry.ID, StartedAt: startedAt, Leaving: s.leaving, Pause: pause})
	return pause > 0
}

// callsTo returns the times of an instance's calls to a server since a time.
func (c *cluster) callsTo(server string, index int, since clock.Millis) []clock.Millis {
	var times []clock.Millis
	for _, called := range c.contacts {
		if called.index == index && called.server == server && called.at >= since {
			times = append(times, called.at)
		}
	}
	return times
}

// requestsTo returns the callers' requests that any instance has sent to a server since a
// time.
func (c *cluster) requestsTo(server string, since clock.Millis) []string {
	var requests []string
	for _, called := range c.contacts {
		if called.request != "" && called.server == server && called.at >= since {
			requests = append(requests, called.request)
		}
	}
	return requests
}

// sendLookups sends requests to all instances in turn, each taken by a plain server.
func (c *cluster) sendLookups(count int) []string {
	var ids []string
	for n := range count {
		ids = append(ids, c.sendRequest(n%len(c.instances), "lookup"))
		c.run(5)
	}
	return ids
}

// keepOnly removes all plain servers but one from the list of each instance.
func (c *cluster) keepOnly(id string) {
	for i := range c.instances {
		for other, s := range c.servers {
			if s.entry.Service == "records" && other != id {
				c.step(i, forwarder.ServerChanged{Entry: s.entry, Removed: true})
			}
		}
	}
}

// requireRefused verifies that a request was refused as not run and returns the refusal.
func (c *cluster) requireRefused(id string) forwarder.Refuse {
	c.t.Helper()
	refusal, ok := c.requests[id].finalAction.(forwarder.Refuse)
	require.True(c.t, ok, "%s is refused\n%s", id, c.logOf(id))
	require.Equal(c.t, 503, refusal.Status)
	require.Zero(c.t, c.requests[id].runs)
	return refusal
}
