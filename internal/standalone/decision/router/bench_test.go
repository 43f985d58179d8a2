package router_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// newSizedRouter returns a router with the given numbers of peers in its domain
// (counting itself), engines, and teams, with one key per team.
func newSizedRouter(peers, engines, teams int) *router.Router {
	machine := router.New(router.Settings{Name: "n-0", Domain: "a", Address: "n-0", Incarnation: "1", MaxInFlight: 1000, ResponseTimeout: 30 * clock.Second, RecordTimeout: 2 * clock.Second})
	machine.Step(clock.Second, event.Started{})
	for _, ev := range sizedEvents(peers, engines, teams) {
		machine.Step(clock.Second, ev)
	}
	return machine
}

// sizedEvents returns the events that deliver the configuration, the instance list
// and the heartbeats. A router's first three calls to the platform are for the
// manifest, the instance list and a lease.
func sizedEvents(peers, engines, teams int) []event.Event {
	configuration := testkit.SampleConfig(3_000_000, 30_000_000, "a")
	for i := range teams {
		name := fmt.Sprintf("team-%d", i)
		configuration.Teams[name] = config.Team{Name: name, Rate: 3_000_000, Burst: 30_000_000}
		configuration.Keys[name] = config.Key{ID: name, Digest: name, Team: name}
	}
	shards, err := sharder.Split(configuration)
	if err != nil {
		panic(err)
	}
	manifest := sharder.Manifest{Salt: "s"}.WithWrite("w", shards).WithConfigChanged()
	events := []event.Event{heartbeatFrom(1, manifest.Revision)}
	events = append(events, event.PeerMessage{From: "n-1", Message: &peerv1.Message{Body: &peerv1.Message_ConfigOffer{ConfigOffer: &peerv1.ConfigOffer{Manifest: manifest.Encode()}}}})
	offer := &peerv1.ShardOffer{}
	for _, value := range shards.ByDigest() {
		offer.Values = append(offer.Values, value)
	}
	events = append(events, event.PeerMessage{From: "n-1", Message: &peerv1.Message{Body: &peerv1.Message_ShardOffer{ShardOffer: offer}}})
	var list []objectstore.Instance
	for i := range engines {
		list = append(list, objectstore.Instance{Name: fmt.Sprintf("engine-%d", i), Role: objectstore.RoleEngine, Domain: "a", State: objectstore.StateLive, Models: []string{"verdict"}, Weights: "v1"})
	}
	for i := 1; i < peers; i++ {
		name := fmt.Sprintf("n-%d", i)
		list = append(list, objectstore.Instance{Name: name, Role: objectstore.RoleEntry, Domain: "a", Address: name, State: objectstore.StateLive})
	}
	events = append(events, event.PlatformResponded{Call: 2, Response: objectstore.Response{Outcome: objectstore.Done, Version: 1, Instances: list}})
	for i := 1; i < peers; i++ {
		events = append(events, heartbeatFrom(i, manifest.Revision))
	}
	return events
}

func heartbeatFrom(number int, revision int64) event.Event {
	name := fmt.Sprintf("n-%d", number)
	heartbeat := &peerv1.Heartbeat{Domain: "a", Address: name, Incarnation: "1", Revision: revision, Sequence: 1}
	for shard := range int32(4) {
		heartbeat.Holdings = append(heartbeat.Holdings, &peerv1.Holding{Shard: shard, Instance: name, Term: 1})
	}
	return event.PeerMessage{From: name, Message: &peerv1.Message{Body: &peerv1.Message_Heartbeat{Heartbeat: heartbeat}}}
}

// BenchmarkHeartbeatReceipt measures the receipt of one heartbeat, by the number of
// peers in the domain.
func BenchmarkHeartbeatReceipt(b *testing.B) {
	for _, peers := range []int{3, 10, 32, 100} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			machine := newSizedRouter(peers, 10, 100)
			heartbeat := heartbeatFrom(1, 1)
			b.ReportAllocs()
			for b.Loop() {
				machine.Step(clock.Second, heartbeat)
			}
			body := heartbeat.(event.PeerMessage).Message
			b.ReportMetric(float64(proto.Size(body)), "bytes/message")
		})
	}
}

// BenchmarkHeartbeatBroadcast measures one broadcast of heartbeats.
func BenchmarkHeartbeatBroadcast(b *testing.B) {
	for _, peers := range []int{3, 10, 32, 100} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			machine := newSizedRouter(peers, 10, 100)
			now := clock.Second
			b.ReportAllocs()
			for b.Loop() {
				now += clock.Second
				machine.Step(now, event.Tick{})
			}
		})
	}
}

// BenchmarkRequest measures a complete model request (arrival, token acquisition,
// server selection, first token, end), by the number of engines of the model.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{3, 25, 525} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			cluster := testkit.NewCluster(1)
			cluster.AddInstance("a-1", "a")
			for i := range engines {
				cluster.AddEngine(fmt.Sprintf("engine-%d", i), "a", "verdict")
			}
			cluster.RunFor(clock.Second)
			cluster.Configure("a-1", testkit.SampleConfig(1_000_000_000, 1_000_000_000, "a"))
			machine := cluster.Instances["a-1"].Router
			now := cluster.Now
			number := 0
			b.ReportAllocs()
			for b.Loop() {
				number++
				request := testkit.ModelRequest(100, 20)
				request.Request = fmt.Sprintf("r%d", number)
				attempt := ""
				for _, next := range machine.Step(now, request) {
					if dispatch, ok := next.(action.Dispatch); ok {
						attempt = dispatch.Attempt
					}
				}
				machine.Step(now, event.FirstToken{Request: request.Request, Attempt: attempt})
				machine.Step(now, event.AttemptCompleted{Request: request.Request, Attempt: attempt, Status: 200, UsedTokens: 110})
			}
		})
	}
}

// BenchmarkConfig measures applying a complete configuration, by the number of teams.
func BenchmarkConfig(b *testing.B) {
	for _, teams := range []int{100, 1000, 5500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			events := sizedEvents(2, 1, teams)
			b.ReportAllocs()
			for b.Loop() {
				machine := router.New(router.Settings{Name: "n-0", Domain: "a", Address: "n-0", Incarnation: "1"})
				machine.Step(clock.Second, event.Started{})
				for _, ev := range events {
					machine.Step(clock.Second, ev)
				}
			}
		})
	}
}

// BenchmarkConfigChange measures applying a change of one team, that is the manifest
// and the changed shard, by the number of teams.
func BenchmarkConfigChange(b *testing.B) {
	for _, teams := range []int{100, 1000, 5500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			machine := newSizedRouter(2, 1, teams)
			configuration, revision, _ := machine.Configuration()
			manifest := sharder.Manifest{Revision: revision, Salt: "s"}
			rate := int64(1000)
			sentBytes := 0
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				rate++
				configuration.Teams["press"] = config.Team{Name: "press", Rate: rate, Burst: 10}
				shards, err := sharder.Split(configuration)
				if err != nil {
					b.Fatal(err)
				}
				manifest = manifest.WithWrite("w", shards)
				values := shards.ByDigest()
				b.StartTimer()
				encoded := manifest.Encode()
				offer := &peerv1.Message{Body: &peerv1.Message_ConfigOffer{ConfigOffer: &peerv1.ConfigOffer{Manifest: encoded}}}
				sentBytes += len(encoded)
				for _, next := range machine.Step(clock.Second, event.PeerMessage{From: "n-1", Message: offer}) {
					send, ok := next.(action.Send)
					if !ok || send.Message.GetShardRequest() == nil {
						continue
					}
					offer := &peerv1.ShardOffer{}
					for _, digest := range send.Message.GetShardRequest().GetDigests() {
						offer.Values = append(offer.Values, values[digest])
						sentBytes += len(values[digest])
					}
					machine.Step(clock.Second, event.PeerMessage{From: "n-1", Message: &peerv1.Message{Body: &peerv1.Message_ShardOffer{ShardOffer: offer}}})
				}
			}
			if _, inForce, _ := machine.Configuration(); inForce != manifest.Revision {
				b.Fatalf("revision %d is in force, not %d", inForce, manifest.Revision)
			}
			b.ReportMetric(float64(sentBytes)/float64(b.N), "bytes/change")
		})
	}
}

// BenchmarkState measures the memory of a router's state, by the number of teams,
// engines and peers.
func BenchmarkState(b *testing.B) {
	for _, size := range []struct{ peers, engines, teams int }{{3, 9, 5}, {32, 525, 100}, {32, 525, 1000}, {32, 525, 5500}, {380, 6300, 5500}} {
		b.Run(fmt.Sprintf("peers=%d,engines=%d,teams=%d", size.peers, size.engines, size.teams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			machines := make([]*router.Router, 0, 4)
			for range 4 {
				machines = append(machines, newSizedRouter(size.peers, size.engines, size.teams))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				runtime.KeepAlive(machines)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/4/1024, "KiB/state")
		})
	}
}
