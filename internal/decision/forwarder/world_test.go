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

// newDesiredState is a state with a route of each kind.
func newDesiredState(version int64) desired.State {
	route := func(name string, kind desired.Kind, service string, attempts int, resumable bool) desired.Route {
		return desired.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Attempts: attempts, Resumable: resumable,
			Split: []desired.Portion{{Service: service, Weight: 1}}, Timeout: 3 * clock.Second, Target: 300, GapTarget: 400, Rank: 1,
		}
	}
	state := desired.State{
		Version: version, Salt: "salt", Limits: desired.LimitDefaults(),
		Routes: []desired.Route{
			route("filing", desired.Unsafe, "records", 1, false), route("lookup", desired.Safe, "records", 2, false),
			route("stream", desired.Stream, "engines", 2, true), route("once", desired.Stream, "engines", 1, false),
		},
		Services: map[string]desired.Service{
			"records": {Name: "records", HealthPath: "/health"},
			"engines": {Name: "engines", HealthPath: "/health", CacheTokens: 90_000, Slots: 64},
		},
		Teams: map[string]desired.Team{"press": {Name: "press", InTokens: true, PlainTokens: 200, Rate: 500_000, Burst: 500_000}},
	}
	return state.WithKey(secret.New(goodKey), "press")
}

// cluster is instances with servers, in which a test's source draws what happens. Time
// goes on in steps; what is under way is kept by its instant.
type cluster struct {
	t           *testing.T
	now         clock.Millis
	random      *rand.Rand
	settings    []site.Site
	instances   []*forwarder.Forwarder
	stopped     map[int]bool // down are instances that take no step.
	storeCutOff map[int]bool // deaf are instances without the store.
	// frozenUntil are instances that stand still until the instant; what happens to them
	// meanwhile reaches them then.
	frozenUntil map[int]clock.Millis
	// lateOrderPercent is how many orders in a hundred get no answer and are carried out
	// seconds later.
	lateOrderPercent int

	servers          map[string]*server
	requests         map[string]*request
	scheduled        []scheduledCall
	publishedVersion int64
	publishedAt      map[int64]clock.Millis
	// poisonPrefix is the prefix of requests that crash the servers which run them.
	poisonPrefix string
	// faultPercents are how often, in hundredths, an attempt ends in each way.
	faultPercents map[forwarder.Outcome]int
	// streamDuration is how long a stream lasts, 0 for a drawn time; loadSpan is how long an
	// engine takes to its new weights.
	streamDuration clock.Millis
	loadDuration   clock.Millis

	// cacheReads are the cacheReads of caches, by server; cacheFaults is how many in a
	// hundred fail, and as many miss changes.
	cacheReads        map[string]int
	cacheFaultPercent int
	faultRandom       *rand.Rand

	leaseRevision int64
	leaseRecord   orderer.Record
	logLines      []string
}

type server struct {
	entry          roster.Entry
	acceptedOrders int64
	down           bool
	drainingSince  clock.Millis
	cacheChanges   []forwarder.CacheChange // cached has the changes of the cache since the start.
}

// request is a caller's request and all that became of it.
type request struct {
	instance      int
	kind          string
	runs          int
	finalActions  int
	finalAction   forwarder.Action
	attempts      int
	partDelivered bool
	lastDispatch  forwarder.Dispatch
	parts         []placer.Part
}

type scheduledCall struct {
	at  clock.Millis
	run func()
}

func newCluster(t *testing.T, seed uint64, instances int) *cluster {
	w := &cluster{
		t: t, now: clock.Second, random: rand.New(rand.NewPCG(seed, 7)), stopped: map[int]bool{}, storeCutOff: map[int]bool{}, frozenUntil: map[int]clock.Millis{},
		servers: map[string]*server{}, requests: map[string]*request{}, publishedVersion: 1, publishedAt: map[int64]clock.Millis{1: 0}, faultPercents: map[forwarder.Outcome]int{},
		loadDuration: 320, cacheReads: map[string]int{}, faultRandom: rand.New(rand.NewPCG(seed, 11)),
	}
	for i := range 6 {
		engine := roster.Entry{ID: fmt.Sprint("e", i), Service: "engines", Address: fmt.Sprint("e", i), Domain: string(rune('a' + i%3)), Slots: 64, Weights: map[string]int64{model: 1}, Born: 1, Revision: 1}
		w.servers[engine.ID] = &server{entry: engine}
		records := roster.Entry{ID: fmt.Sprint("r", i), Service: "records", Address: fmt.Sprint("r", i), Domain: string(rune('a' + i%3)), Slots: 6, Born: 1, Revision: 1}
		w.servers[records.ID] = &server{entry: records}
	}
	for i := range instances {
		place := site.Defaults()
		place.Name, place.IP, place.Domain = fmt.Sprint("edge-", i), fmt.Sprint("10.0.0.", i), string(rune('a'+i%3))
		place.Peers = place.Name
		place.FirstStart = true
		place.Bounds.RetryExtra = 50
		place.Bounds.RetryRatio = 0.2
		w.settings = append(w.settings, place)
		w.instances = append(w.instances, nil)
		w.startInstance(i)
	}
	w.run(300)
	return w
}

// startInstance starts an instance that knows nothing, and lets it read the store.
func (w *cluster) startInstance(i int) {
	w.instances[i] = forwarder.New(w.settings[i], fmt.Sprint("start-", i, "-", w.now), uint64(i+1))
	w.step(i, forwarder.Tick{})
	addresses := map[string]string{}
	for _, place := range w.settings {
		addresses[place.Name] = place.Peers
	}
	w.step(i, forwarder.PeersListed{Addresses: addresses})
	w.step(i, forwarder.StateRead{State: newDesiredState(1), At: w.now})
	w.step(i, forwarder.WeightsNamed{Model: model, Version: w.publishedVersion})
	w.listServers(i)
}

func (w *cluster) listServers(i int) {
	var entries []roster.Entry
	for _, id := range w.serverIDs() {
		if s := w.servers[id]; !s.down {
			entries = append(entries, s.entry)
		}
	}
	w.step(i, forwarder.ServersListed{Entries: entries})
}

func (w *cluster) serverIDs() []string {
	var ids []string
	for id := range w.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *cluster) after(span clock.Millis, run func()) {
	w.scheduled = append(w.scheduled, scheduledCall{at: w.now.Add(max(1, span)), run: run})
}

// step gives an instance an event and performs what follows.
func (w *cluster) step(i int, happened forwarder.Event) {
	if w.stopped[i] {
		return
	}
	if thaw := w.frozenUntil[i]; w.now < thaw {
		node := w.instances[i]
		w.after(thaw.Since(w.now), func() {
			if w.instances[i] == node {
				w.step(i, happened)
			}
		})
		return
	}
	for _, next := range w.instances[i].Step(w.now, happened) {
		w.perform(i, next)
	}
}

// run lets the world go on.
func (w *cluster) run(span clock.Millis) {
	for end := w.now.Add(span); w.now < end; w.now += 5 {
		due, rest := []scheduledCall{}, []scheduledCall{}
		for _, next := range w.scheduled {
			if next.at <= w.now {
				due = append(due, next)
			} else {
				rest = append(rest, next)
			}
		}
		w.scheduled = rest
		for _, next := range due {
			next.run()
		}
		for i, node := range w.instances {
			if !w.stopped[i] && w.now >= w.frozenUntil[i] && w.now >= node.NextWake() {
				w.step(i, forwarder.Tick{})
			}
			if w.now%500 == 0 && !w.storeCutOff[i] {
				w.step(i, forwarder.StateConfirmed{At: w.now})
			}
		}
	}
}

func (w *cluster) perform(i int, next forwarder.Action) {
	switch next := next.(type) {
	case forwarder.Dispatch:
		w.dispatch(i, next)
	case forwarder.Pass, forwarder.Refuse, forwarder.Break, forwarder.Drop:
		w.recordFinalAction(next)
	case forwarder.Tell:
		for j, place := range w.settings {
			if slices.Contains(next.To, place.Peers) {
				w.after(2, func() { w.step(j, forwarder.PeerHeard{Digest: next.Digest}) })
			}
		}
	case forwarder.Check:
		w.after(3, func() {
			s := w.servers[next.Server]
			w.step(i, forwarder.ServerChecked{Server: next.Server, Healthy: !s.down, Refused: s.down})
		})
	case forwarder.AskStore:
		w.callStore(i, next.Step)
	case forwarder.AskEngine:
		w.callEngine(i, next.Step)
	case forwarder.ReadCache:
		w.readCache(i, next.Read)
	case forwarder.Log:
		w.logLines = append(w.logLines, fmt.Sprintf("%s %s %s", w.now, w.settings[i].Name, next.Entry))
		if next.Entry.Number == journal.RequestConvicted {
			w.logLines = append(w.logLines, "convicted")
		}
	}
}

// sendRequest sends a request of the kind to an instance.
func (w *cluster) sendRequest(i int, kind string) string {
	id := fmt.Sprint(kind, "-", len(w.requests))
	w.requests[id] = &request{instance: i, kind: kind}
	arrived := forwarder.Request{ID: id, Host: host, Method: "POST", Path: "/" + kind + "/x", Key: secret.New(goodKey), Patience: 2500, Fingerprint: id}
	if kind == "stream" || kind == "once" {
		arrived.Model, arrived.Prompt, arrived.Output = model, 1000, 20
		arrived.Parts = []placer.Part{{ID: "a", Tokens: 400}, {ID: fmt.Sprint("b", len(w.requests)%7), Tokens: 300}, {ID: id, Tokens: 300}}
	}
	w.requests[id].parts = arrived.Parts
	if w.stopped[i] {
		w.requests[id].finalActions = 1
		w.requests[id].finalAction = forwarder.Drop{}
		return id
	}
	w.step(i, forwarder.Arrived{Request: arrived})
	return id
}

func (w *cluster) recordFinalAction(next forwarder.Action) {
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
	r.finalActions++
	r.finalAction = next
}
