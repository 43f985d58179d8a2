package forwarder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// checkInvariants holds what must hold for every request, whatever happened.
func (w *cluster) checkInvariants() {
	w.t.Helper()
	for id, r := range w.requests {
		require.Equal(w.t, 1, r.finalActions, "%s has one final answer\n%s", id, w.logOf(id))
		if r.kind == "filing" || r.kind == "once" {
			require.LessOrEqual(w.t, r.runs, 1, "%s runs at most once\n%s", id, w.logOf(id))
		} else {
			require.LessOrEqual(w.t, r.runs, 2, "%s runs at two servers at most\n%s", id, w.logOf(id))
		}
		switch final := r.finalAction.(type) {
		case forwarder.Refuse:
			if final.Status != 502 && final.Status != 504 {
				require.Zero(w.t, r.runs, "%s is refused with %d as not run\n%s", id, final.Status, w.logOf(id))
			}
			require.False(w.t, r.partDelivered, "%s is refused after a part of its answer", id)
		case forwarder.Break:
			require.True(w.t, r.partDelivered, "%s is broken off before its answer began", id)
		}
	}
}

func (w *cluster) logOf(id string) string {
	var lines []string
	for _, line := range w.logLines {
		if strings.Contains(line, "request="+id+" ") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// servedFraction returns the part of the requests that got a server's answer, of those whose
// instance lived.
func (w *cluster) servedFraction() float64 {
	answered, all := 0, 0
	for _, r := range w.requests {
		switch r.finalAction.(type) {
		case forwarder.Pass:
			answered++
		case forwarder.Drop:
			continue
		}
		all++
	}
	return float64(answered) / float64(all)
}

var kinds = []string{"filing", "lookup", "stream", "once"}

// TestUnderFaults draws what goes wrong, alone and together, and holds the promises to
// every request: one final answer, a true "not run", no second run where none is
// allowed, no leaving server, no weights that are too old.
func TestUnderFaults(t *testing.T) {
	tests := map[string]struct {
		faults map[forwarder.Outcome]int
		// draw does one of the disturbances each half second.
		draw func(w *cluster, version *int64)
		// served is the least part of the requests that must be answered by a server.
		served float64
	}{
		"a calm day": {served: 1},
		// Four fifths succeed at once; a fifth of the requests may be repeated, by the
		// budget, of which four fifths succeed.
		"declined":          {faults: map[forwarder.Outcome]int{forwarder.Declined: 20}, served: 0.96},
		"unsent":            {faults: map[forwarder.Outcome]int{forwarder.Unsent: 5}, served: 0.95},
		"cut":               {faults: map[forwarder.Outcome]int{forwarder.Cut: 10}, served: 0.85},
		"spoilt":            {faults: map[forwarder.Outcome]int{forwarder.Spoilt: 10}, served: 0.85},
		"all of them":       {faults: map[forwarder.Outcome]int{forwarder.Declined: 10, forwarder.Unsent: 3, forwarder.Cut: 5, forwarder.Spoilt: 5}, served: 0.8},
		"new weights":       {draw: func(w *cluster, _ *int64) { w.withProbability(4, w.publishWeights) }, served: 0.95},
		"servers leave":     {draw: func(w *cluster, _ *int64) { w.withProbability(2, w.drainServer) }, served: 0.95},
		"servers crash":     {draw: func(w *cluster, _ *int64) { w.withProbability(2, w.crashServer) }, served: 0.9},
		"instances restart": {draw: func(w *cluster, _ *int64) { w.withProbability(2, w.restartInstance) }, served: 0.9},
		"the store is away": {draw: func(w *cluster, _ *int64) { w.withProbability(2, w.cutOffStore) }, served: 0.6},
		"everything": {
			faults: map[forwarder.Outcome]int{forwarder.Declined: 5, forwarder.Unsent: 2, forwarder.Cut: 3, forwarder.Spoilt: 3},
			draw: func(w *cluster, _ *int64) {
				w.withProbability(4, w.publishWeights)
				w.withProbability(6, w.drainServer)
				w.withProbability(6, w.crashServer)
				w.withProbability(6, w.restartInstance)
				w.withProbability(6, w.cutOffStore)
			}, served: 0.4,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				w := newCluster(t, seed, 4)
				w.cacheFaultPercent = 5
				for outcome, part := range test.faults {
					w.faultPercents[outcome] = part
				}
				var version int64
				for range 20 {
					for range 15 {
						w.sendRequest(w.random.IntN(len(w.instances)), kinds[w.random.IntN(len(kinds))])
						w.run(clock.Millis(20 + w.random.IntN(20)))
					}
					if test.draw != nil {
						test.draw(w, &version)
					}
				}
				w.run(5 * clock.Second)
				w.checkInvariants()
				require.GreaterOrEqual(t, w.servedFraction(), test.served, "seed %d: part that a server answered", seed)
			}
		})
	}
}

// TestStaleKeysAreRefused holds that keyed requests are refused as not run, and the instance is
// not ready, when the state is older than the bound for withdrawn keys.
func TestStaleKeysAreRefused(t *testing.T) {
	w := newCluster(t, 1, 1)
	require.True(t, w.instances[0].ReadyAt(w.now))
	w.storeCutOff[0] = true
	w.run(3 * clock.Second)
	early := w.sendRequest(0, "filing")
	w.run(2 * clock.Second)
	late := w.sendRequest(0, "filing")
	w.run(clock.Second)
	require.IsType(t, forwarder.Pass{}, w.requests[early].finalAction)
	require.Equal(t, forwarder.ReasonStaleState, w.requests[late].finalAction.(forwarder.Refuse).Reason)
	require.Zero(t, w.requests[late].runs)
	require.False(t, w.instances[0].ReadyAt(w.now))
	// A process that was suspended meanwhile counts the time as well.
	w.storeCutOff[0] = false
	w.run(600)
	require.True(t, w.instances[0].ReadyAt(w.now))
	require.False(t, w.instances[0].ReadyAt(w.now+10*clock.Second))
}

// TestStaleStateGivesNoFinalRefusal holds that nothing final is said from a state that may
// have been replaced.
func TestStaleStateGivesNoFinalRefusal(t *testing.T) {
	w := newCluster(t, 1, 1)
	ask := func(id, path, key string) int {
		w.requests[id] = &request{}
		w.step(0, forwarder.Arrived{Request: forwarder.Request{ID: id, Host: host, Path: path, Key: secret.New(key)}})
		return w.requests[id].finalAction.(forwarder.Refuse).Status
	}
	require.Equal(t, 404, ask("path", "/other/", goodKey))
	require.Equal(t, 401, ask("key", "/filing/", "bad"))
	w.storeCutOff[0] = true
	w.run(2600)
	require.Equal(t, 503, ask("path later", "/other/", goodKey))
	require.Equal(t, 503, ask("key later", "/filing/", "bad"))
}

// TestRequestThatCrashesServers replays a request that crashes each server which runs
// it, and comes again: after three servers it is refused at once, by every instance,
// and others are not.
func TestRequestThatCrashesServers(t *testing.T) {
	w := newCluster(t, 1, 3)
	w.poisonPrefix = "poison"
	for try := range 8 {
		id := fmt.Sprint("poison-", try)
		w.requests[id] = &request{instance: try % 3, kind: "lookup"}
		w.step(try%3, forwarder.Arrived{Request: forwarder.Request{ID: id, Host: host, Method: "GET", Path: "/lookup/x", Key: secret.New(goodKey), Patience: 2500, Fingerprint: "poison"}})
		w.run(clock.Second)
	}
	crashed := 0
	for _, s := range w.servers {
		if s.down {
			crashed++
		}
	}
	require.LessOrEqual(t, crashed, 4, "two tries at two servers each")
	last := w.requests["poison-7"]
	require.Equal(t, forwarder.ReasonCrashesServers, last.finalAction.(forwarder.Refuse).Reason)
	require.Zero(t, last.attempts)
	other := w.sendRequest(0, "lookup")
	w.run(clock.Second)
	require.IsType(t, forwarder.Pass{}, w.requests[other].finalAction)
}

// TestCallerDisconnects holds that a request which may be repeated ends with its caller, and
// that one which may not goes on.
func TestCallerDisconnects(t *testing.T) {
	w := newCluster(t, 1, 1)
	for _, kind := range kinds {
		id := w.sendRequest(0, kind)
		w.step(0, forwarder.Abandoned{Request: id})
		if kind == "filing" {
			require.Zero(t, w.requests[id].finalActions)
			w.run(clock.Second)
			require.IsType(t, forwarder.Pass{}, w.requests[id].finalAction)
			continue
		}
		require.IsType(t, forwarder.Drop{}, w.requests[id].finalAction, kind)
	}
	w.run(clock.Second)
	require.Zero(t, w.instances[0].InFlight())
}

// TestTeamOverLimit holds that a team over its limit is told when to come back, and that
// requests which did not run cost nothing.
func TestTeamOverLimit(t *testing.T) {
	w := newCluster(t, 1, 1)
	refused := 0
	for range 1200 {
		id := w.sendRequest(0, "once")
		if final, ok := w.requests[id].finalAction.(forwarder.Refuse); ok && final.Reason == forwarder.ReasonOverRate {
			refused++
			require.Equal(t, 429, final.Status)
			require.Greater(t, final.RetryAfter, 50*clock.Millisecond)
			require.LessOrEqual(t, final.RetryAfter, 2*clock.Second)
		}
	}
	require.Greater(t, refused, 500, "500,000 tokens are some 490 requests")
}

// TestServerRemovedAfterStoreFailure holds that an entry which goes right after a connection to
// the store was reset is taken as gone, and after an outage in which entries lapse not.
func TestServerRemovedAfterStoreFailure(t *testing.T) {
	for name, test := range map[string]struct {
		outage clock.Millis
		used   bool
	}{"a reset connection": {outage: 1500, used: false}, "an outage": {outage: 4000, used: true}} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t, 1, 1)
			for id, s := range w.servers {
				if s.entry.Service == "records" && id != "r0" {
					w.step(0, forwarder.ServerChanged{Entry: s.entry, Removed: true})
				}
			}
			w.step(0, forwarder.StoreFailed{Detail: "test"})
			w.run(test.outage)
			w.step(0, forwarder.StoreAnswered{})
			w.step(0, forwarder.ServerChanged{Entry: w.servers["r0"].entry, Removed: true})
			id := w.sendRequest(0, "lookup")
			w.run(500)
			require.Equal(t, test.used, w.requests[id].attempts > 0)
			w.run(2 * clock.Second)
			id = w.sendRequest(0, "lookup")
			require.Zero(t, w.requests[id].attempts, "it has not come back")
		})
	}
}

// TestConcurrentPromptsSpreadOverEngines replays prompts that come through all instances
// in the same moments, right after new weights, when all caches are empty: what one has
// placed is known to the others before it can do harm.
func TestConcurrentPromptsSpreadOverEngines(t *testing.T) {
	w := newCluster(t, 1, 4)
	const prompts = 48
	for i := range prompts {
		id := fmt.Sprint("prompt-", i)
		w.requests[id] = &request{instance: i % 4, kind: "once"}
		w.step(i%4, forwarder.Arrived{Request: forwarder.Request{
			ID: id, Host: host, Method: "POST", Path: "/once/x", Key: secret.New(goodKey), Patience: 2500, Fingerprint: id,
			Model: model, Prompt: 6000, Output: 10,
			// All are about one subject, whose home is one engine.
			Parts: []placer.Part{{ID: "guide", Tokens: 2000}, {ID: "subject", Tokens: 1000}, {ID: id, Tokens: 3000}},
		}})
		w.run(15)
	}
	counts := map[string]int{}
	for _, r := range w.requests {
		counts[r.lastDispatch.Server]++
	}
	for server, count := range counts {
		// The home may keep twice its even part.
		require.LessOrEqual(t, count, 2*prompts/6, "prompts at %s: %v", server, counts)
	}
}

// TestStateAgeIgnoredWithoutKeys holds that where nobody needs a key, the age of the state stops
// nothing.
func TestStateAgeIgnoredWithoutKeys(t *testing.T) {
	w := newCluster(t, 1, 1)
	open := newDesiredState(2)
	open.Teams, open.Keys = nil, nil
	w.step(0, forwarder.StateRead{State: open, At: w.now})
	w.storeCutOff[0] = true
	w.run(20 * clock.Second)
	require.True(t, w.instances[0].ReadyAt(w.now))
}
