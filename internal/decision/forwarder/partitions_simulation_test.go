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

var partitionSeeds = flag.Int("partition-seeds", 0, "number of seeds of TestCallersOfPartitionedInstancesAreServed for each size of the cluster")

// fewPartitionSeeds are the numbers of seeds without the flag.
var fewPartitionSeeds = map[string]int{"7 instances": 4, "67 instances": 1}

// partitionDuration is the time for which instances are cut off from servers.
const partitionDuration = 9 * clock.Second

// partitions choose the instances that are cut off from all servers.
var partitions = map[string]func(c *cluster) []int{
	"one":                   func(*cluster) []int { return []int{1} },
	"most":                  func(c *cluster) []int { return c.indexes(func(i int) bool { return i%3 != 0 }) },
	"a domain":              func(c *cluster) []int { return c.indexes(func(i int) bool { return i%c.domains == 1 }) },
	"others in each domain": func(c *cluster) []int { return c.indexes(func(i int) bool { return i >= c.domains }) },
	"all but one":           func(c *cluster) []int { return c.indexes(func(i int) bool { return i != 2 }) },
}

// cutModes are the modes of a cut by name.
var cutModes = map[string]cutMode{"hang": channelsHang, "reset": channelsReset, "live on": channelsLive}

// indexes returns the instances that fulfill the condition.
func (c *cluster) indexes(condition func(i int) bool) []int {
	var chosen []int
	for i := range c.instances {
		if condition(i) {
			chosen = append(chosen, i)
		}
	}
	return chosen
}

// isCutOff reports whether an instance was cut off from all servers for stableWindow before at.
func (c *cluster) isCutOff(i int, at clock.Millis) bool {
	for _, cut := range c.serverCuts {
		if cut.index == i && cut.only == nil && at >= cut.since.Add(stableWindow) && at < cut.until {
			return true
		}
	}
	return false
}

// firstTries are the numbers of requests of instances in touch, and of those served.
type firstTries struct{ sent, served int }

func (f firstTries) fraction() float64 { return float64(f.served) / float64(max(1, f.sent)) }

// triesDuringCuts returns the requests that were sent while some instances had been cut off for
// stableWindow: those at these instances, and those at the others.
func (c *cluster) triesDuringCuts() (cutOff, others firstTries) {
	for _, r := range c.requests {
		during := false
		for i := range c.instances {
			during = during || c.isCutOff(i, r.sentAt)
		}
		if !during || r.sentAt < c.disturbedUntil[r.instance].Add(stableWindow) {
			continue
		}
		tries := &others
		if c.isCutOff(r.instance, r.sentAt) {
			tries = &cutOff
		}
		tries.sent++
		if _, served := r.finalAction.(forwarder.ForwardResponse); served {
			tries.served++
		}
	}
	return cutOff, others
}

// requireServedInCuts verifies that the first tries at instances that were cut off are served at
// least two thirds as often as those at the others, unless at most 10 and 1 in 50 fail.
func (c *cluster) requireServedInCuts() {
	c.t.Helper()
	cutOff, others := c.triesDuringCuts()
	failed := cutOff.sent - cutOff.served
	c.t.Logf("cut off: %d of %d served; others: %d of %d", cutOff.served, cutOff.sent, others.served, others.sent)
	c.t.Logf("tunnels: %v", c.verdicts)
	if 50*failed > 500+cutOff.sent+others.sent {
		require.GreaterOrEqual(c.t, 3*cutOff.fraction(), 2*others.fraction(), "%d first tries failed at instances that were cut off", failed)
	}
}

// tunnelBytes is the size of a request for a tunnel with its response and the packets of the
// connection, and controlBytes the traffic for control that an instance may have in a second.
const (
	tunnelBytes  = 1200
	controlBytes = 21_000
)

// requireFewTunnels verifies that the requests for tunnels, beside those that carried a caller's
// request, use a part of the control traffic of the instances that are cut off.
func (c *cluster) requireFewTunnels() {
	c.t.Helper()
	seconds := 0.0
	for _, cut := range c.serverCuts {
		seconds += float64(cut.until.Since(cut.since)) / 1000
	}
	perSecond := float64(c.tunnelCount-c.verdicts[tunnelverdict.Reached]) / seconds
	c.t.Logf("%.1f tunnels that were not opened, for each second and instance that was cut off", perSecond)
	require.Less(c.t, perSecond*tunnelBytes, controlBytes/2.0)
	c.t.Logf("%.1f connects without a request", float64(c.directProbes)/seconds)
	require.Less(c.t, float64(c.directProbes)/seconds*tunnelBytes, controlBytes/2.0)
}

// sendSpread sends requests of all kinds to all instances, two a second to each.
func (c *cluster) sendSpread(duration clock.Millis) {
	const step = 20 * clock.Millisecond
	sent := 0.0
	for elapsed := clock.Millis(0); elapsed < duration; elapsed += step {
		for sent += max(0.4, 0.04*float64(len(c.instances))); sent >= 1; sent-- {
			c.sendRequest(c.random.IntN(len(c.instances)), kinds[c.random.IntN(len(kinds))])
		}
		c.run(step)
	}
}

// TestCallersOfPartitionedInstancesAreServed cuts instances off from all servers, while callers,
// the store and the other instances still reach them. With an odd seed, instances are killed,
// suspended and started anew, servers crash and leave, and new weights are loaded meanwhile.
func TestCallersOfPartitionedInstancesAreServed(t *testing.T) {
	t.Parallel()
	for size, scale := range scales {
		for seed := range uint64(max(*partitionSeeds, fewPartitionSeeds[size])) {
			for who, choose := range partitions {
				for name, mode := range cutModes {
					if scale.instances > 7 && *partitionSeeds == 0 && (name != "hang" || raceDetector) {
						continue
					}
					t.Run(fmt.Sprintf("%s, seed %d, %s, %s", size, seed, who, name), func(t *testing.T) {
						c := newClusterIn(t, seed, scale.instances, scale.domains)
						c.sendSpread(2 * clock.Second)
						c.cutServers(choose(c), mode, partitionDuration, nil)
						for range 22 {
							c.sendSpread(500)
							if seed%2 == 0 {
								continue
							}
							c.oneIn(12, c.restartInstance)
							c.oneIn(12, c.pauseInstance)
							c.oneIn(12, c.crashServer)
							c.oneIn(12, c.drainServer)
							c.oneIn(8, c.publishWeights)
						}
						c.run(6 * clock.Second)
						c.checkInvariants()
						c.requireServedInCuts()
						c.requireFewTunnels()
						if cutOff, _ := c.triesDuringCuts(); seed%2 == 0 {
							require.NotZero(t, cutOff.sent)
						}
					})
				}
			}
		}
	}
}

// TestPartitionIsNotTakenForCrashes cuts most instances off from all servers, which are sound.
// The other instances must not avoid any of them, and no part of a prompt may be convicted.
func TestPartitionIsNotTakenForCrashes(t *testing.T) {
	t.Parallel()
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			c := newClusterIn(t, 1, 7, 3)
			c.streamDuration = clock.Second
			c.sendSpread(2 * clock.Second)
			// One instance of each domain keeps its paths.
			isSound := func(i int) bool { return i < c.domains }
			cutOff := c.indexes(func(i int) bool { return !isSound(i) })
			c.logLines = nil
			for range 4 {
				c.cutServers(cutOff, mode, 4*clock.Second, nil)
				c.sendSpread(6 * clock.Second)
			}
			c.run(4 * clock.Second)
			require.Empty(t, c.linesWith("partConvicted"))
			require.Empty(t, c.linesWith("requestConvicted"))
			require.Empty(t, c.linesWith("serverSuspected", "gone=true"))
			for _, i := range c.indexes(isSound) {
				require.Empty(t, c.linesWith(c.settings[i].Name, "serverSuspected"))
			}
		})
	}
}
