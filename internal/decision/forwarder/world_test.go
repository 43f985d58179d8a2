package forwarder_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/roster"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/site"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	host    = "h"
	goodKey = "good"
	model   = "m"
)

// desiredState is a state with a route of each kind.
func desiredState(version int64) desired.State {
	route := func(name string, kind desired.Kind, service string, attempts int, resumable bool) desired.Route {
		return desired.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Split: []desired.WeightedService{{Service: service, Weight: 1}}, Timeout: 3 * clock.Second, ResponseTarget: 300, EventGapTarget: 400, Priority: 1,
		}
	}
	state := desired.State{
		Version: version, Salt: "salt", Limits: desired.DefaultLimits(),
		Routes: []desired.Route{
			route("filing", desired.Unsafe, "records", 1, false), route("lookup", desired.Safe, "records", 2, false),
			route("stream", desired.Stream, "engines", 2, true), route("once", desired.Stream, "engines", 1, false),
		},
		Services: map[string]desired.Service{
			"records": {Name: "records", HealthPath: "/health"},
			"engines": {Name: "engines", HealthPath: "/health", CacheTokens: 90_000, Slots: 64},
		},
		Teams: map[string]desired.Team{"press": {Name: "press", LimitsTokens: true, DefaultTokens: 200, Rate: 500_000, Burst: 500_000}},
	}
	return state.WithKey(secret.New(goodKey), "press")
}

// world is instances with servers, in which a test's source draws what happens. Time
// goes on in steps; what is under way is kept by its instant.
type world struct {
	t      *testing.T
	now    clock.Millis
	source *rand.Rand
	places []site.Site
	nodes  []*forwarder.Forwarder
	down   map[int]bool // down are instances that take no step.
	deaf   map[int]bool // deaf are instances without the store.
	// frozen are instances that stand still until the instant; what happens to them
	// meanwhile reaches them then.
	frozen map[int]clock.Millis
	// lateOrders is how many orders in a hundred get no answer and are carried out
	// seconds later.
	lateOrders int

	servers  map[string]*server
	requests map[string]*request
	later    []laterStep
	named    int64
	namedAt  map[int64]clock.Millis
	// poison is the prefix of requests that crash the servers which run them.
	poison string
	// faults are how often, in hundredths, an attempt ends in each way.
	faults map[forwarder.Outcome]int
	// streamSpan is how long a stream lasts, 0 for a drawn time; loadSpan is how long an
	// engine takes to its new weights.
	streamSpan clock.Millis
	loadSpan   clock.Millis

	// readings are the readings of caches, by server; cacheFaults is how many in a
	// hundred fail, and as many miss changes.
	readings    map[string]int
	cacheFaults int
	cacheSource *rand.Rand

	revision int64
	record   orderer.Record
	logs     []string
}

type server struct {
	entry    roster.Entry
	accepted int64
	gone     bool
	drainAt  clock.Millis
	cached   []forwarder.CacheChange // cached has the changes of the cache since the start.
}

// request is a caller's request and all that became of it.
type request struct {
	node     int
	kind     string
	runs     int
	finals   int
	final    forwarder.Action
	attempts int
	passed   bool
	last     forwarder.Dispatch
	parts    []placer.Part
}

type laterStep struct {
	at  clock.Millis
	run func()
}

func newWorld(t *testing.T, seed uint64, instances int) *world {
	w := &world{
		t: t, now: clock.Second, source: rand.New(rand.NewPCG(seed, 7)), down: map[int]bool{}, deaf: map[int]bool{}, frozen: map[int]clock.Millis{},
		servers: map[string]*server{}, requests: map[string]*request{}, named: 1, namedAt: map[int64]clock.Millis{1: 0}, faults: map[forwarder.Outcome]int{},
		loadSpan: 320, readings: map[string]int{}, cacheSource: rand.New(rand.NewPCG(seed, 11)),
	}
	for i := range 6 {
		engine := roster.Entry{ID: fmt.Sprint("e", i), Service: "engines", Address: fmt.Sprint("e", i), Domain: string(rune('a' + i%3)), Slots: 64, WeightVersions: map[string]int64{model: 1}, StartedAt: 1, Revision: 1}
		w.servers[engine.ID] = &server{entry: engine}
		records := roster.Entry{ID: fmt.Sprint("r", i), Service: "records", Address: fmt.Sprint("r", i), Domain: string(rune('a' + i%3)), Slots: 6, StartedAt: 1, Revision: 1}
		w.servers[records.ID] = &server{entry: records}
	}
	for i := range instances {
		place := site.Defaults()
		place.Name, place.IP, place.Domain = fmt.Sprint("edge-", i), fmt.Sprint("10.0.0.", i), string(rune('a'+i%3))
		place.Peers = place.Name
		place.FirstStart = true
		place.Bounds.RetryExtra = 50
		place.Bounds.RetryRatio = 0.2
		w.places = append(w.places, place)
		w.nodes = append(w.nodes, nil)
		w.start(i)
	}
	w.run(300)
	return w
}

// start starts an instance that knows nothing, and lets it read the store.
func (w *world) start(i int) {
	w.nodes[i] = forwarder.New(w.places[i], fmt.Sprint("start-", i, "-", w.now), uint64(i+1))
	w.step(i, forwarder.Tick{})
	addresses := map[string]string{}
	for _, place := range w.places {
		addresses[place.Name] = place.Peers
	}
	w.step(i, forwarder.PeersListed{Addresses: addresses})
	w.step(i, forwarder.StateRead{State: desiredState(1), At: w.now})
	w.step(i, forwarder.WeightsNamed{Model: model, Version: w.named})
	w.list(i)
}

func (w *world) list(i int) {
	var entries []roster.Entry
	for _, id := range w.ids() {
		if s := w.servers[id]; !s.gone {
			entries = append(entries, s.entry)
		}
	}
	w.step(i, forwarder.ServersListed{Entries: entries})
}

func (w *world) ids() []string {
	var ids []string
	for id := range w.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) after(span clock.Millis, run func()) {
	w.later = append(w.later, laterStep{at: w.now.Add(max(1, span)), run: run})
}

// step gives an instance an event and performs what follows.
func (w *world) step(i int, happened forwarder.Event) {
	if w.down[i] {
		return
	}
	if thaw := w.frozen[i]; w.now < thaw {
		node := w.nodes[i]
		w.after(thaw.Since(w.now), func() {
			if w.nodes[i] == node {
				w.step(i, happened)
			}
		})
		return
	}
	for _, next := range w.nodes[i].Step(w.now, happened) {
		w.perform(i, next)
	}
}

// run lets the world go on.
func (w *world) run(span clock.Millis) {
	for end := w.now.Add(span); w.now < end; w.now += 5 {
		due, rest := []laterStep{}, []laterStep{}
		for _, next := range w.later {
			if next.at <= w.now {
				due = append(due, next)
			} else {
				rest = append(rest, next)
			}
		}
		w.later = rest
		for _, next := range due {
			next.run()
		}
		for i, node := range w.nodes {
			if !w.down[i] && w.now >= w.frozen[i] && w.now >= node.NextWake() {
				w.step(i, forwarder.Tick{})
			}
			if w.now%500 == 0 && !w.deaf[i] {
				w.step(i, forwarder.StateConfirmed{At: w.now})
			}
		}
	}
}

func (w *world) perform(i int, next forwarder.Action) {
	switch next := next.(type) {
	case forwarder.Dispatch:
		w.dispatch(i, next)
	case forwarder.Pass, forwarder.Refuse, forwarder.Break, forwarder.Drop:
		w.finish(next)
	case forwarder.Tell:
		for j, place := range w.places {
			if slices.Contains(next.To, place.Peers) {
				w.after(2, func() { w.step(j, forwarder.PeerHeard{Digest: next.Digest}) })
			}
		}
	case forwarder.Check:
		w.after(3, func() {
			s := w.servers[next.Server]
			w.step(i, forwarder.ServerChecked{Server: next.Server, Healthy: !s.gone, Refused: s.gone})
		})
	case forwarder.AskStore:
		w.askStore(i, next.Step)
	case forwarder.AskEngine:
		w.askEngine(i, next.Step)
	case forwarder.ReadCache:
		w.readCache(i, next.Read)
	case forwarder.Log:
		w.logs = append(w.logs, fmt.Sprintf("%s %s %s", w.now, w.places[i].Name, next.Entry))
		if next.Entry.Number == journal.RequestConvicted {
			w.logs = append(w.logs, "convicted")
		}
	}
}

// send sends a request of the kind to an instance.
func (w *world) send(i int, kind string) string {
	id := fmt.Sprint(kind, "-", len(w.requests))
	w.requests[id] = &request{node: i, kind: kind}
	arrived := forwarder.Request{ID: id, Host: host, Method: "POST", Path: "/" + kind + "/x", Key: secret.New(goodKey), Patience: 2500, Fingerprint: id}
	if kind == "stream" || kind == "once" {
		arrived.Model, arrived.Prompt, arrived.Output = model, 1000, 20
		arrived.Parts = []placer.Part{{ID: "a", Tokens: 400}, {ID: fmt.Sprint("b", len(w.requests)%7), Tokens: 300}, {ID: id, Tokens: 300}}
	}
	w.requests[id].parts = arrived.Parts
	if w.down[i] {
		w.requests[id].finals = 1
		w.requests[id].final = forwarder.Drop{}
		return id
	}
	w.step(i, forwarder.Arrived{Request: arrived})
	return id
}

func (w *world) finish(next forwarder.Action) {
	var id string
	switch next := next.(type) {
	case forwarder.Pass:
		id = next.Request
	case forwarder.Refuse:
		id = next.Request
	case forwarder.Break:
		id = next.Request
	case forwarder.Drop:
		id = next.Request
	}
	r := w.requests[id]
	r.finals++
	r.final = next
}
