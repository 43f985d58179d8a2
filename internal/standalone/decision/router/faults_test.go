package router_test

import (
	"maps"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// outage is how long a fault that heals lasts: longer than a lease.
const outage = 5 * clock.Second

// fault is one fault of the matrix; it heals by itself.
type fault func(f *testkit.Fleet)

// kill ends the named instance and starts it anew after the outage.
func kill(name string) fault {
	return func(f *testkit.Fleet) {
		f.Nodes[name].Kill()
		f.After(outage, func() {
			if !f.Nodes[name].Up {
				f.Nodes[name].Restart()
			}
		})
	}
}

func freeze(name string) fault {
	return func(f *testkit.Fleet) {
		f.Nodes[name].Freeze()
		f.After(outage, f.Nodes[name].Thaw)
	}
}

func cut(a string, others ...string) fault {
	return func(f *testkit.Fleet) {
		for _, other := range others {
			f.Cut(a, other, true)
		}
		f.After(outage, func() {
			for _, other := range others {
				f.Cut(a, other, false)
			}
		})
	}
}

// crash ends the services or engines whose names have the prefix.
func crash(prefix string) fault {
	return func(f *testkit.Fleet) {
		for _, name := range slices.Sorted(maps.Keys(f.Servers)) {
			if strings.HasPrefix(name, prefix) {
				f.Servers[name].Crash()
				f.After(clock.Second, f.Servers[name].Start)
			}
		}
	}
}

func eachServer(change func(*testkit.Server)) fault {
	return func(f *testkit.Fleet) {
		for _, name := range slices.Sorted(maps.Keys(f.Servers)) {
			change(f.Servers[name])
		}
	}
}

// faults are the faults of the matrix, each at one step. Instance a-1 is the
// gateway of the request; a-2 stands beside it in its failure domain.
var faults = map[string]fault{
	"gateway killed":       kill("a-1"),
	"neighbour killed":     kill("a-2"),
	"gateway frozen":       freeze("a-1"),
	"neighbour frozen":     freeze("a-2"),
	"domain cut platform":  cut("a", testkit.PlatformDomain),
	"domain cut others":    cut("a", "b", "c"),
	"domain cut from both": cut("a", testkit.PlatformDomain, "b", "c"),
	"servers crash":        crash(""),
	"near server crashes":  crash("ordering-a"),
	"cut before the run":   eachServer(func(s *testkit.Server) { s.CutBefore++ }),
	"cut after the run":    eachServer(func(s *testkit.Server) { s.CutAfter++ }),
	"crossed answer":       eachServer(func(s *testkit.Server) { s.Crossed++ }),
	"platform down": func(f *testkit.Fleet) {
		f.Platform.Down = true
		f.After(outage, func() { f.Platform.Down = false })
	},
	"platform slow": func(f *testkit.Fleet) {
		f.Platform.Slow = 300 * clock.Millisecond
		f.After(outage, func() { f.Platform.Slow = 0 })
	},
	"platform slower than the timeout": func(f *testkit.Fleet) {
		f.Platform.Slow = 700 * clock.Millisecond
		f.After(outage, func() { f.Platform.Slow = 0 })
	},
	"platform's answer lost": func(f *testkit.Fleet) { f.Platform.LoseAnswers++ },
	"two answers lost":       func(f *testkit.Fleet) { f.Platform.LoseAnswers += 2 },
	"list late": func(f *testkit.Fleet) {
		f.Platform.ListLag = outage
		f.Servers["ordering-a"].Leave()
	},
	"operators race": func(f *testkit.Fleet) {
		for _, node := range []string{"b-1", "c-1"} {
			f.Operate(node, event.ConfigSubmitted{Operation: "race-" + node, Config: testkit.Sample(3000, 30001, "a", "b", "c")})
		}
	},
}
