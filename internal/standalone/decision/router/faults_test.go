package router_test

import (
	"maps"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// outageDuration is the duration of temporary faults. It is longer than a lease.
const outageDuration = 5 * clock.Second

// faultFunc injects one fault of the matrix. The fault ends by itself.
type faultFunc func(f *testkit.Fleet)

// killInstance kills the named instance and restarts it after outageDuration.
func killInstance(name string) faultFunc {
	return func(f *testkit.Fleet) {
		f.Nodes[name].Kill()
		f.After(outageDuration, func() {
			if !f.Nodes[name].Up {
				f.Nodes[name].Restart()
			}
		})
	}
}

func pauseInstance(name string) faultFunc {
	return func(f *testkit.Fleet) {
		f.Nodes[name].Freeze()
		f.After(outageDuration, f.Nodes[name].Thaw)
	}
}

func partition(a string, others ...string) faultFunc {
	return func(f *testkit.Fleet) {
		for _, other := range others {
			f.Cut(a, other, true)
		}
		f.After(outageDuration, func() {
			for _, other := range others {
				f.Cut(a, other, false)
			}
		})
	}
}

// crashServers crashes the services and engines whose names have the prefix and
// restarts them after a second.
func crashServers(prefix string) faultFunc {
	return func(f *testkit.Fleet) {
		for _, name := range slices.Sorted(maps.Keys(f.Servers)) {
			if strings.HasPrefix(name, prefix) {
				f.Servers[name].Crash()
				f.After(clock.Second, f.Servers[name].Start)
			}
		}
	}
}

func forEachServer(change func(*testkit.Server)) faultFunc {
	return func(f *testkit.Fleet) {
		for _, name := range slices.Sorted(maps.Keys(f.Servers)) {
			change(f.Servers[name])
		}
	}
}

// faults are the faults of the matrix, by name. Instance a-1 is the gateway of the
// request; a-2 is the other instance in its failure domain. The sorted names are an
// input of the seeded random tests.
var faults = map[string]faultFunc{
	"gateway killed":       killInstance("a-1"),
	"neighbour killed":     killInstance("a-2"),
	"gateway frozen":       pauseInstance("a-1"),
	"neighbour frozen":     pauseInstance("a-2"),
	"domain cut platform":  partition("a", testkit.PlatformDomain),
	"domain cut others":    partition("a", "b", "c"),
	"domain cut from both": partition("a", testkit.PlatformDomain, "b", "c"),
	"servers crash":        crashServers(""),
	"near server crashes":  crashServers("ordering-a"),
	"cut before the run":   forEachServer(func(s *testkit.Server) { s.CutBefore++ }),
	"cut after the run":    forEachServer(func(s *testkit.Server) { s.CutAfter++ }),
	"crossed answer":       forEachServer(func(s *testkit.Server) { s.Crossed++ }),
	"platform down": func(f *testkit.Fleet) {
		f.Platform.Down = true
		f.After(outageDuration, func() { f.Platform.Down = false })
	},
	"platform slow": func(f *testkit.Fleet) {
		f.Platform.Slow = 300 * clock.Millisecond
		f.After(outageDuration, func() { f.Platform.Slow = 0 })
	},
	"platform slower than the timeout": func(f *testkit.Fleet) {
		f.Platform.Slow = 700 * clock.Millisecond
		f.After(outageDuration, func() { f.Platform.Slow = 0 })
	},
	"platform's answer lost": func(f *testkit.Fleet) { f.Platform.LoseAnswers++ },
	"two answers lost":       func(f *testkit.Fleet) { f.Platform.LoseAnswers += 2 },
	"list late": func(f *testkit.Fleet) {
		f.Platform.ListLag = outageDuration
		f.Servers["ordering-a"].Leave()
	},
	"operators race": func(f *testkit.Fleet) {
		for _, node := range []string{"b-1", "c-1"} {
			f.Operate(node, event.ConfigSubmitted{Operation: "race-" + node, Config: testkit.Sample(3000, 30001, "a", "b", "c")})
		}
	},
}
