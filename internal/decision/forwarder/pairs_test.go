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

var pairCount = flag.Int("pair-seeds", 24, "how many pairs of troubles TestPairsOfTroubles draws")

// faultKinds are what may go wrong: once in a while, or all the while.
var faultKinds = map[string]func(w *cluster){
	"new weights":       func(w *cluster) { w.withProbability(3, w.publishWeights) },
	"servers leave":     func(w *cluster) { w.withProbability(4, w.drainServer) },
	"servers crash":     func(w *cluster) { w.withProbability(4, w.crashServer) },
	"instances restart": func(w *cluster) { w.withProbability(4, w.restartInstance) },
	"store away":        func(w *cluster) { w.withProbability(4, w.cutOffStore) },
	"watches lost":      func(w *cluster) { w.withProbability(2, w.loseStoreWatch) },
	"instances frozen":  func(w *cluster) { w.withProbability(4, w.freezeInstance) },
	"settings changed":  func(w *cluster) { w.withProbability(2, w.changeSettings) },
	"orders late":       func(w *cluster) { w.lateOrderPercent = 50; w.withProbability(3, w.publishWeights) },
	"caches not told":   func(w *cluster) { w.cacheFaultPercent = 30 },
	"streams are long": func(w *cluster) {
		w.streamDuration, w.loadDuration = 1500, 1500
		w.withProbability(4, w.publishWeights)
	},
	"requests declined":  func(w *cluster) { w.faultPercents[forwarder.Declined] = 15 },
	"requests unsent":    func(w *cluster) { w.faultPercents[forwarder.Unsent] = 10 },
	"answers cut":        func(w *cluster) { w.faultPercents[forwarder.Cut] = 10 },
	"answers spoilt":     func(w *cluster) { w.faultPercents[forwarder.Spoilt] = 10 },
	"poisonous requests": func(w *cluster) { w.poisonPrefix = "once-7" },
}

// TestFaultPairs draws two troubles by seed, the same one twice at times, and
// holds the promises to every request.
func TestFaultPairs(t *testing.T) {
	var names []string
	for name := range faultKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for seed := range uint64(*pairCount) {
		draw := rand.New(rand.NewPCG(seed, 23))
		first, second := names[draw.IntN(len(names))], names[draw.IntN(len(names))]
		t.Run(fmt.Sprintf("%d %s, %s", seed, first, second), func(t *testing.T) {
			w := newCluster(t, seed, 4)
			for range 16 {
				for range 15 {
					w.sendRequest(w.random.IntN(len(w.instances)), kinds[w.random.IntN(len(kinds))])
					w.run(clock.Millis(20 + w.random.IntN(20)))
				}
				faultKinds[first](w)
				faultKinds[second](w)
			}
			w.run(12 * clock.Second)
			w.checkInvariants()
		})
	}
}
