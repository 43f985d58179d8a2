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
type faultFunc func(cluster *testkit.Cluster)

// killInstance kills the named instance and restarts it after outageDuration.
func killInstance(name string) faultFunc {
	return func(cluster *testkit.Cluster) {
		cluster.Instances[name].Kill()
		cluster.AfterFunc(outageDuration, func() {
			if !cluster.Instances[name].Up {
				cluster.Instances[name].Restart()
			}
		})
	}
}

func pauseInstance(name string) faultFunc {
	return func(cluster *testkit.Cluster) {
		cluster.Instances[name].Pause()
		cluster.AfterFunc(outageDuration, cluster.Instances[name].Resume)
	}
}

func partition(a string, others ...string) faultFunc {
	return func(cluster *testkit.Cluster) {
		for _, other := range others {
			cluster.SetPartition(a, other, true)
		}
		cluster.AfterFunc(outageDuration, func() {
			for _, other := range others {
				cluster.SetPartition(a, other, false)
			}
		})
	}
}

// crashServers crashes the services and engines whose names have the prefix and
// restarts them after a second.
func crashServers(prefix string) faultFunc {
	return func(cluster *testkit.Cluster) {
		for _, name := range slices.Sorted(maps.Keys(cluster.Servers)) {
			if strings.HasPrefix(name, prefix) {
				cluster.Servers[name].Crash()
				cluster.AfterFunc(clock.Second, cluster.Servers[name].Start)
			}
		}
	}
}

func forEachServer(change func(*testkit.Server)) faultFunc {
	return func(cluster *testkit.Cluster) {
		for _, name := range slices.Sorted(maps.Keys(cluster.Servers)) {
			change(cluster.Servers[name])
		}
	}
}

// faults are the faults of the matrix, by name. Instance a-1 is the gateway, the
// instance that receives the request; a-2 is the other instance (the neighbour) in its
// failure domain. The sorted names are an input of the seeded random tests.
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
	"cut before the run":   forEachServer(func(s *testkit.Server) { s.DisconnectBeforeRun++ }),
	"cut after the run":    forEachServer(func(s *testkit.Server) { s.DisconnectAfterRun++ }),
	"crossed answer":       forEachServer(func(s *testkit.Server) { s.MismatchedResponses++ }),
	"platform down": func(cluster *testkit.Cluster) {
		cluster.Platform.Down = true
		cluster.AfterFunc(outageDuration, func() { cluster.Platform.Down = false })
	},
	"platform slow": func(cluster *testkit.Cluster) {
		cluster.Platform.Delay = 300 * clock.Millisecond
		cluster.AfterFunc(outageDuration, func() { cluster.Platform.Delay = 0 })
	},
	"platform slower than the timeout": func(cluster *testkit.Cluster) {
		cluster.Platform.Delay = 700 * clock.Millisecond
		cluster.AfterFunc(outageDuration, func() { cluster.Platform.Delay = 0 })
	},
	"platform's answer lost": func(cluster *testkit.Cluster) { cluster.Platform.DropResponses++ },
	"two answers lost":       func(cluster *testkit.Cluster) { cluster.Platform.DropResponses += 2 },
	"list late": func(cluster *testkit.Cluster) {
		cluster.Platform.ListLag = outageDuration
		cluster.Servers["ordering-a"].MarkLeaving()
	},
	"operators race": func(cluster *testkit.Cluster) {
		for _, instance := range []string{"b-1", "c-1"} {
			cluster.SubmitEvent(instance, event.ConfigSubmitted{Operation: "race-" + instance, Config: testkit.SampleConfig(3000, 30001, "a", "b", "c")})
		}
	},
}
