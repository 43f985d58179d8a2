package forwarder_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var pairCount = flag.Int("pair-seeds", 24, "number of fault pairs that TestFaultPairs draws")

// faultKinds are the faults that the test combines. Some set a fault rate for the rest
// of the run, others happen with a probability. The seeds draw from the sorted names:
// keep their order.
var faultKinds = map[string]func(c *cluster){
	"new weights":       func(c *cluster) { c.oneIn(3, c.publishWeights) },
	"servers leave":     func(c *cluster) { c.oneIn(4, c.drainServer) },
	"servers crash":     func(c *cluster) { c.oneIn(4, c.crashServer) },
	"instances restart": func(c *cluster) { c.oneIn(4, c.restartInstance) },
	"store unreachable": func(c *cluster) { c.oneIn(4, c.cutOffStore) },
	"watches lost":      func(c *cluster) { c.oneIn(2, c.loseStoreWatch) },
	"instances paused":  func(c *cluster) { c.oneIn(4, c.pauseInstance) },
	"settings changed":  func(c *cluster) { c.oneIn(2, c.changeSettings) },
	"orders late":       func(c *cluster) { c.lateOrderPercent = 50; c.oneIn(3, c.publishWeights) },
	"cache reads fail":  func(c *cluster) { c.cacheFaultPercent = 30 },
	"streams are long": func(c *cluster) {
		c.streamDuration, c.loadDuration = 1500, 1500
		c.oneIn(4, c.publishWeights)
	},
	"requests declined": func(c *cluster) { c.faultPercents[forwarder.OutcomeDeclined] = 15 },
	"requests not sent": func(c *cluster) { c.faultPercents[forwarder.OutcomeNotSent] = 10 },
	"answers cut":       func(c *cluster) { c.faultPercents[forwarder.OutcomeInterrupted] = 10 },
	"answers spoilt":    func(c *cluster) { c.faultPercents[forwarder.OutcomeCorrupted] = 10 },
	"poison requests":   func(c *cluster) { c.poisonPrefix = "once-7" },
}

// TestFaultPairs draws two faults by seed, sometimes the same one twice, and verifies
// the invariants of every request.
func TestFaultPairs(t *testing.T) {
	t.Parallel()
	var names []string
	for name := range faultKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for seed := range uint64(*pairCount) {
		random := rand.New(rand.NewPCG(seed, 23))
		first, second := names[random.IntN(len(names))], names[random.IntN(len(names))]
		t.Run(fmt.Sprintf("%d %s, %s", seed, first, second), func(t *testing.T) {
			c := newCluster(t, seed, 4)
			for range 16 {
				for range 15 {
					c.sendRequest(c.random.IntN(len(c.instances)), kinds[c.random.IntN(len(kinds))])
					c.run(clock.Millis(20 + c.random.IntN(20)))
				}
				faultKinds[first](c)
				faultKinds[second](c)
			}
			c.run(12 * clock.Second)
			c.checkInvariants()
		})
	}
}
