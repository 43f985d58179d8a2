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

var pairSeeds = flag.Int("pair-seeds", 24, "how many pairs of troubles TestPairsOfTroubles draws")

// troubles are what may go wrong: once in a while, or all the while.
var troubles = map[string]func(w *world){
	"new weights":        func(w *world) { w.maybe(3, w.name) },
	"servers leave":      func(w *world) { w.maybe(4, w.leave) },
	"servers crash":      func(w *world) { w.maybe(4, w.crash) },
	"instances restart":  func(w *world) { w.maybe(4, w.restart) },
	"store away":         func(w *world) { w.maybe(4, w.deafen) },
	"watches lost":       func(w *world) { w.maybe(2, w.loseWatch) },
	"instances frozen":   func(w *world) { w.maybe(4, w.freeze) },
	"settings changed":   func(w *world) { w.maybe(2, w.changeSettings) },
	"orders late":        func(w *world) { w.lateOrders = 50; w.maybe(3, w.name) },
	"caches not told":    func(w *world) { w.cacheFaults = 30 },
	"streams are long":   func(w *world) { w.streamSpan, w.loadSpan = 1500, 1500; w.maybe(4, w.name) },
	"requests declined":  func(w *world) { w.faults[forwarder.Declined] = 15 },
	"requests unsent":    func(w *world) { w.faults[forwarder.Unsent] = 10 },
	"answers cut":        func(w *world) { w.faults[forwarder.Cut] = 10 },
	"answers spoilt":     func(w *world) { w.faults[forwarder.Spoilt] = 10 },
	"poisonous requests": func(w *world) { w.poison = "once-7" },
}

// TestPairsOfTroubles draws two troubles by seed, the same one twice at times, and
// holds the promises to every request.
func TestPairsOfTroubles(t *testing.T) {
	var names []string
	for name := range troubles {
		names = append(names, name)
	}
	slices.Sort(names)
	for seed := range uint64(*pairSeeds) {
		draw := rand.New(rand.NewPCG(seed, 23))
		first, second := names[draw.IntN(len(names))], names[draw.IntN(len(names))]
		t.Run(fmt.Sprintf("%d %s, %s", seed, first, second), func(t *testing.T) {
			w := newWorld(t, seed, 4)
			for range 16 {
				for range 15 {
					w.send(w.source.IntN(len(w.nodes)), kinds[w.source.IntN(len(kinds))])
					w.run(clock.Millis(20 + w.source.IntN(20)))
				}
				troubles[first](w)
				troubles[second](w)
			}
			w.run(12 * clock.Second)
			w.check()
		})
	}
}
