package forwarder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// checkInvariants verifies the invariants that hold for every request under any fault.
func (c *cluster) checkInvariants() {
	c.t.Helper()
	for id, r := range c.requests {
		require.Equal(c.t, 1, r.finalActions, "%s has exactly one final response\n%s", id, c.logOf(id))
		if r.kind == "filing" || r.kind == "once" || r.kind == "act" {
			require.LessOrEqual(c.t, r.runs, 1, "%s runs at most once\n%s", id, c.logOf(id))
		} else {
			require.LessOrEqual(c.t, r.runs, 2, "%s runs at two servers at most\n%s", id, c.logOf(id))
		}
		switch final := r.finalAction.(type) {
		case forwarder.Refuse:
			if final.Status != 502 && final.Status != 504 {
				require.Zero(c.t, r.runs, "%s is refused with %d as not run\n%s", id, final.Status, c.logOf(id))
			}
			require.False(c.t, r.partDelivered, "%s is refused after a part of its response was delivered", id)
		case forwarder.AbortStream:
			require.True(c.t, r.partDelivered, "%s is aborted before its response started", id)
		}
	}
}

func (c *cluster) logOf(id string) string {
	return strings.Join(c.requestLines[id], "\n")
}

// servedFraction returns the fraction of the requests that received a server's
// response, not counting requests of killed instances.
func (c *cluster) servedFraction() float64 {
	served, total := 0, 0
	for _, r := range c.requests {
		switch r.finalAction.(type) {
		case forwarder.ForwardResponse:
			served++
		case forwarder.DropRequest:
			continue
		}
		total++
	}
	return float64(served) / float64(total)
}

var kinds = []string{"filing", "lookup", "stream", "once"}

// TestUnderFaults injects faults, alone and together, and verifies the invariants of
// every request: exactly one final response, a correct "not run", no second run where
// none is allowed, no requests to a leaving server or to weights that are too old.
func TestUnderFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		faults map[forwarder.Outcome]int
		// inject injects a fault every half second.
		inject func(c *cluster, version *int64)
		// served is the least fraction of the requests that a server must answer.
		served float64
	}{
		"no faults": {served: 1},
		// Four fifths succeed at once. The retry budget allows retries of a fifth of
		// the requests, of which four fifths succeed.
		"declined":          {faults: map[forwarder.Outcome]int{forwarder.OutcomeDeclined: 20}, served: 0.96},
		"not sent":          {faults: map[forwarder.Outcome]int{forwarder.OutcomeNotSent: 5}, served: 0.95},
		"interrupted":       {faults: map[forwarder.Outcome]int{forwarder.OutcomeInterrupted: 10}, served: 0.85},
		"corrupted":         {faults: map[forwarder.Outcome]int{forwarder.OutcomeCorrupted: 10}, served: 0.85},
		"all outcomes":      {faults: map[forwarder.Outcome]int{forwarder.OutcomeDeclined: 10, forwarder.OutcomeNotSent: 3, forwarder.OutcomeInterrupted: 5, forwarder.OutcomeCorrupted: 5}, served: 0.8},
		"new weights":       {inject: func(c *cluster, _ *int64) { c.oneIn(4, c.publishWeights) }, served: 0.95},
		"servers leave":     {inject: func(c *cluster, _ *int64) { c.oneIn(2, c.drainServer) }, served: 0.95},
		"servers crash":     {inject: func(c *cluster, _ *int64) { c.oneIn(2, c.crashServer) }, served: 0.9},
		"instances restart": {inject: func(c *cluster, _ *int64) { c.oneIn(2, c.restartInstance) }, served: 0.9},
		"store unreachable": {inject: func(c *cluster, _ *int64) { c.oneIn(2, c.cutOffStore) }, served: 0.6},
		"all faults": {
			faults: map[forwarder.Outcome]int{forwarder.OutcomeDeclined: 5, forwarder.OutcomeNotSent: 2, forwarder.OutcomeInterrupted: 3, forwarder.OutcomeCorrupted: 3},
			inject: func(c *cluster, _ *int64) {
				c.oneIn(4, c.publishWeights)
				c.oneIn(6, c.drainServer)
				c.oneIn(6, c.crashServer)
				c.oneIn(6, c.restartInstance)
				c.oneIn(6, c.cutOffStore)
			}, served: 0.4,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				c := newCluster(t, seed, 4)
				c.cacheFaultPercent = 5
				for outcome, percent := range test.faults {
					c.faultPercents[outcome] = percent
				}
				var version int64
				for range 20 {
					for range 15 {
						c.sendRequest(c.random.IntN(len(c.instances)), kinds[c.random.IntN(len(kinds))])
						c.run(clock.Millis(20 + c.random.IntN(20)))
					}
					if test.inject != nil {
						test.inject(c, &version)
					}
				}
				c.run(5 * clock.Second)
				c.checkInvariants()
				require.GreaterOrEqual(t, c.servedFraction(), test.served, "seed %d: fraction that a server answered", seed)
			}
		})
	}
}

// TestStaleKeysAreRefused verifies that keyed requests are refused as not run, and that
// the instance is not ready, while the desired state is older than the bound for
// withdrawn keys.
func TestStaleKeysAreRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	require.True(t, c.instances[0].ReadyAt(c.now))
	c.storeCutOff[0] = true
	c.run(3 * clock.Second)
	earlyID := c.sendRequest(0, "filing")
	c.run(2 * clock.Second)
	lateID := c.sendRequest(0, "filing")
	c.run(clock.Second)
	require.IsType(t, forwarder.ForwardResponse{}, c.requests[earlyID].finalAction)
	require.Equal(t, forwarder.ReasonStaleState, c.requests[lateID].finalAction.(forwarder.Refuse).Reason)
	require.Zero(t, c.requests[lateID].runs)
	require.False(t, c.instances[0].ReadyAt(c.now))
	// The age also counts the time during which the process was suspended.
	c.storeCutOff[0] = false
	c.run(600)
	require.True(t, c.instances[0].ReadyAt(c.now))
	require.False(t, c.instances[0].ReadyAt(c.now+10*clock.Second))
}

// TestStaleStateGivesNoFinalRefusal verifies that an unknown route or key is refused
// with a retryable status while the desired state may have been replaced.
func TestStaleStateGivesNoFinalRefusal(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	statusOf := func(id, path, key string) int {
		c.requests[id] = &request{}
		c.step(0, forwarder.RequestArrived{Request: forwarder.Request{ID: id, Host: host, Path: path, Key: secret.New(key)}})
		return c.requests[id].finalAction.(forwarder.Refuse).Status
	}
	require.Equal(t, 404, statusOf("path", "/other/", goodKey))
	require.Equal(t, 401, statusOf("key", "/filing/", "bad"))
	c.storeCutOff[0] = true
	c.run(2600)
	require.Equal(t, 503, statusOf("path later", "/other/", goodKey))
	require.Equal(t, 503, statusOf("key later", "/filing/", "bad"))
}

// TestRequestThatCrashesServers repeats a request that crashes each server which runs
// it. After crashes of three servers every instance must refuse it at once, and still
// serve other requests.
func TestRequestThatCrashesServers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 3)
	c.poisonPrefix = "poison"
	for attempt := range 8 {
		id := fmt.Sprint("poison-", attempt)
		c.requests[id] = &request{instance: attempt % 3, kind: "lookup"}
		c.step(attempt%3, forwarder.RequestArrived{Request: forwarder.Request{ID: id, Host: host, Method: "GET", Path: "/lookup/x", Key: secret.New(goodKey), CallerTimeout: 2500, Fingerprint: "poison"}})
		c.run(clock.Second)
	}
	crashed := 0
	for _, s := range c.servers {
		if s.down {
			crashed++
		}
	}
	require.LessOrEqual(t, crashed, 4, "two requests with two attempts each")
	last := c.requests["poison-7"]
	require.Equal(t, forwarder.ReasonCrashesServers, last.finalAction.(forwarder.Refuse).Reason)
	require.Zero(t, last.attempts)
	other := c.sendRequest(0, "lookup")
	c.run(clock.Second)
	require.IsType(t, forwarder.ForwardResponse{}, c.requests[other].finalAction)
}

// TestCallerDisconnects verifies that a request is dropped when its caller disconnects,
// and that an unsafe one, here of the route "filing", continues.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	for _, kind := range kinds {
		id := c.sendRequest(0, kind)
		c.step(0, forwarder.CallerDisconnected{Request: id})
		if kind == "filing" {
			require.Zero(t, c.requests[id].finalActions)
			c.run(clock.Second)
			require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction)
			continue
		}
		require.IsType(t, forwarder.DropRequest{}, c.requests[id].finalAction, kind)
	}
	c.run(clock.Second)
	require.Zero(t, c.instances[0].InFlight())
}

// TestTeamOverLimit verifies that a team over its limit receives a retry delay, and
// that requests which did not run consume no tokens.
func TestTeamOverLimit(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	refused := 0
	for range 1200 {
		id := c.sendRequest(0, "once")
		if final, ok := c.requests[id].finalAction.(forwarder.Refuse); ok && final.Reason == forwarder.ReasonOverRate {
			refused++
			require.Equal(t, 429, final.Status)
			require.Greater(t, final.RetryAfter, 50*clock.Millisecond)
			require.LessOrEqual(t, final.RetryAfter, 2*clock.Second)
		}
	}
	require.Greater(t, refused, 500, "a burst of 500,000 tokens covers about 490 requests")
}

// TestServerRemovedAfterStoreFailure verifies that a server whose entry vanishes right
// after a short connection failure of the store is removed, and that it is still used
// for a while after an outage in which entries may have expired.
func TestServerRemovedAfterStoreFailure(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		outage clock.Millis
		used   bool
	}{"a reset connection": {outage: 1500, used: false}, "an outage": {outage: 4000, used: true}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			for id, s := range c.servers {
				if s.entry.Service == "records" && id != "r0" {
					c.step(0, forwarder.ServerChanged{Entry: s.entry, Removed: true})
				}
			}
			c.step(0, forwarder.StoreFailed{Detail: "test"})
			c.run(test.outage)
			c.step(0, forwarder.StoreResponded{})
			c.step(0, forwarder.ServerChanged{Entry: c.servers["r0"].entry, Removed: true})
			id := c.sendRequest(0, "lookup")
			c.run(500)
			require.Equal(t, test.used, c.requests[id].attempts > 0)
			c.run(2 * clock.Second)
			id = c.sendRequest(0, "lookup")
			require.Zero(t, c.requests[id].attempts, "the entry has not been written again")
		})
	}
}

// TestConcurrentPromptsSpreadOverEngines sends prompts through all instances at the
// same time while all caches are empty, as they are after a load of new weights. Each
// instance must receive the others' assignments soon enough not to overload one engine.
func TestConcurrentPromptsSpreadOverEngines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 4)
	const prompts = 48
	for i := range prompts {
		c.sendPrompt(i%4, fmt.Sprint("prompt-", i))
		c.run(15)
	}
	counts := map[string]int{}
	for _, r := range c.requests {
		counts[r.lastDispatch.Server]++
	}
	for server, count := range counts {
		// The owner may get twice its even share.
		require.LessOrEqual(t, count, 2*prompts/6, "prompts at %s: %v", server, counts)
	}
}

// sendPrompt sends a long prompt to an instance. All such prompts share a subject, whose
// owner is one engine.
func (c *cluster) sendPrompt(instance int, id string) {
	c.requests[id] = &request{instance: instance, kind: "once"}
	c.step(instance, forwarder.RequestArrived{Request: forwarder.Request{
		ID: id, Host: host, Method: "POST", Path: "/once/x", Key: secret.New(goodKey), CallerTimeout: 2500, Fingerprint: id,
		Model: model, PromptTokens: 6000, OutputTokens: 10,
		PromptParts: []scheduler.Part{{ID: "guide", Tokens: 2000}, {ID: "subject", Tokens: 1000}, {ID: id, Tokens: 3000}},
	}})
}

// TestStateAgeIgnoredWithoutKeys verifies that where no request needs a key, requests
// are served whatever the age of the desired state.
func TestStateAgeIgnoredWithoutKeys(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	open := newDesiredState(2)
	open.Teams, open.Keys = nil, nil
	c.step(0, forwarder.StateRead{State: open, ConfirmedAt: c.now})
	c.storeCutOff[0] = true
	c.run(20 * clock.Second)
	require.True(t, c.instances[0].ReadyAt(c.now))
}
