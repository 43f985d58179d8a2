package forwarder_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var noticeSeeds = flag.Int("notice-seeds", 0, "number of seeds of TestNoticesUnderFaults for each size of the cluster")

// fewNoticeSeeds are the numbers of seeds without the flag.
var fewNoticeSeeds = map[string]int{"7 instances": 3, "67 instances": 1}

// TestNoticesUnderFaults lets servers leave, some under the name under which they start again,
// and ask for pauses, while instances are killed, suspended and cut off from each other and
// from the store. It verifies from the records which calls reached which server.
func TestNoticesUnderFaults(t *testing.T) {
	t.Parallel()
	for name, scale := range scales {
		for seed := range uint64(max(*noticeSeeds, fewNoticeSeeds[name])) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				c := newClusterIn(t, seed, scale.instances, scale.domains)
				c.cacheFaultPercent = 3
				for range 24 {
					for range 20 {
						for range 1 + scale.instances/20 {
							c.sendRequest(c.random.IntN(len(c.instances)), kinds[c.random.IntN(len(kinds))])
						}
						c.run(20)
					}
					c.oneIn(2, c.leave)
					c.oneIn(2, c.pauseServer)
					c.oneIn(4, c.crashServer)
					c.oneIn(4, c.restartInstance)
					c.oneIn(4, c.cutOffStore)
					c.oneIn(6, c.pauseInstance)
					c.oneIn(6, c.cutNetwork)
					c.oneIn(8, c.publishWeights)
				}
				c.run(8 * clock.Second)
				c.checkInvariants()
				c.checkNotices()
			})
		}
	}
}

// TestNoticesUnderCuts does the same while instances are cut off from some or all servers, so that
// the calls of several instances reach a server from the same one.
func TestNoticesUnderCuts(t *testing.T) {
	t.Parallel()
	for name, scale := range scales {
		for seed := range uint64(max(*noticeSeeds, fewNoticeSeeds[name])) {
			if scale.instances > 7 && raceDetector {
				continue
			}
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				c := newClusterIn(t, seed, scale.instances, scale.domains)
				for range 24 {
					for range 20 {
						for range 1 + scale.instances/20 {
							c.sendRequest(c.random.IntN(len(c.instances)), kinds[c.random.IntN(len(kinds))])
						}
						c.run(20)
					}
					c.oneIn(2, c.leave)
					c.oneIn(2, c.pauseServer)
					c.oneIn(3, c.cutAtRandom)
					c.oneIn(8, c.crashServer)
					c.oneIn(8, c.restartInstance)
				}
				c.run(8 * clock.Second)
				c.checkInvariants()
				c.checkNotices()
				require.NotZero(t, c.verdicts[tunnelverdict.Reached])
			})
		}
	}
}

// cutAtRandom cuts a third to all but one of the instances off from all servers, or from half of
// them, for some seconds.
func (c *cluster) cutAtRandom() {
	share := 2 + c.random.IntN(len(c.instances))
	chosen := c.indexes(func(i int) bool { return i != 0 && c.random.IntN(len(c.instances)+2) < share })
	var only map[string]bool
	if c.random.IntN(2) == 0 {
		only = map[string]bool{}
		for _, id := range c.serverIDs() {
			only[id] = c.random.IntN(2) == 0
		}
	}
	c.cutServers(chosen, cutMode(c.random.IntN(3)), clock.Millis(1000+c.random.IntN(5000)), only)
}

// leave lets a random server say that it leaves. Its entry says so later or not at all; the
// server stops some seconds later and starts again.
func (c *cluster) leave() {
	s := c.randomServer()
	if !s.down && !s.leaving && s.drainingSince == 0 {
		c.startLeaving(s)
	}
}

func (c *cluster) startLeaving(s *server) {
	s.leaving = true
	startedAt := s.entry.StartedAt
	notify := func() {
		s.entry.Revision++
		for i := range c.instances {
			if !c.storeCutOff[i] {
				c.step(i, forwarder.ServerChanged{Entry: s.entry})
			}
		}
	}
	ifRunning := func(do func()) func() {
		return func() {
			if s.entry.StartedAt == startedAt && !s.down {
				do()
			}
		}
	}
	if c.random.IntN(2) == 0 {
		c.after(clock.Millis(c.random.IntN(1500)), ifRunning(func() { s.entry.Draining = true; notify() }))
	}
	c.after(clock.Millis(2500+c.random.IntN(3000)), ifRunning(func() {
		s.down = true
		c.after(500, func() {
			s.down, s.entry.Draining, s.acceptedOrders = false, false, 0
			s.leaving = false
			s.entry.StartedAt++
			if s.entry.Service == "engines" {
				s.entry = s.entry.WithWeightVersion(model, c.publishedVersion)
			}
			if c.random.IntN(3) == 0 {
				c.startLeaving(s)
			}
			notify()
		})
	}))
}

// pauseServer lets a random server decline everything for some time. It does not return from
// an earlier pause before the time that it gave.
func (c *cluster) pauseServer() {
	s := c.randomServer()
	s.pausedUntil = max(s.pausedUntil, c.now.Add(clock.Millis(300+c.random.IntN(4000))))
}

// cutNetwork cuts a random failure domain off from the others for some seconds.
func (c *cluster) cutNetwork() {
	domain := c.random.IntN(c.domains)
	c.cut = func(from, to int) bool { return (from%c.domains == domain) != (to%c.domains == domain) }
	duration := clock.Millis(1000 + c.random.IntN(3000))
	for i := range c.instances {
		if i%c.domains == domain {
			c.disturb(i, c.now.Add(duration))
		}
	}
	c.after(duration, func() { c.cut = nil })
}

// callKey identifies the calls of one process to one start of a server.
type callKey struct {
	instance  *forwarder.Forwarder
	server    string
	startedAt int64
}

// checkNotices verifies the calls after each notice: no request to a server that leaves later
// than half of the time for which it serves, and no more than a single call between half a
// second after the response that asks for a pause and the pause's end.
func (c *cluster) checkNotices() {
	c.t.Helper()
	calls := map[callKey][]contact{}
	for _, called := range c.contacts {
		key := callKey{called.instance, called.server, called.startedAt}
		calls[key] = append(calls[key], called)
	}
	seenLeaving := map[callKey]clock.Millis{}
	drain := c.settings[0].Bounds.ServerDrain
	for _, notice := range c.receivedNotices {
		key := callKey{notice.instance, notice.server, notice.startedAt}
		if _, known := seenLeaving[key]; notice.leaving && !known {
			seenLeaving[key] = notice.at
		}
		during := 0
		for _, called := range calls[key] {
			if called.at > notice.at.Add(500) && called.at < notice.pausedUntil {
				during++
			}
		}
		require.LessOrEqual(c.t, during, 1, "calls to %s, started at %d, between %s and %s", notice.server, notice.startedAt, notice.at, notice.pausedUntil)
	}
	for key, since := range seenLeaving {
		for _, called := range calls[key] {
			// Through another instance, the request follows when the connection is open.
			require.False(c.t, called.request != "" && (called.decidedAt > since.Add(drain/2) || called.at > since.Add(drain)), "%s is sent at %s to %s, started at %d, known to leave since %s\n%s", called.request, called.at, key.server, key.startedAt, since, c.logOf(called.request))
		}
	}
	c.t.Logf("%d notices, %d leaving servers seen, %d calls, %.3f served", len(c.receivedNotices), len(seenLeaving), len(c.contacts), c.servedFraction())
}
