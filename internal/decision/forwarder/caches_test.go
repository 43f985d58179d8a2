package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// addToCache records that the engine has cached the parts. If evict is set, it
// occasionally evicts one.
func (s *server) addToCache(salt string, parts []scheduler.Part, evict bool) {
	if s.cached == nil {
		s.cached = map[string]bool{}
	}
	for _, part := range parts {
		if s.cached[salt+part.ID] {
			continue
		}
		s.cached[salt+part.ID] = true
		s.cacheChanges = append(s.cacheChanges, forwarder.CacheChange{Salt: salt, PartID: part.ID, Tokens: part.Tokens})
	}
	if evict && len(parts) > 0 && len(s.cacheChanges)%11 == 0 {
		delete(s.cached, salt+parts[1].ID)
		s.cacheChanges = append(s.cacheChanges, forwarder.CacheChange{Salt: salt, PartID: parts[1].ID})
	}
}

// readCache simulates a server's list of cached parts. Each start of the server has its
// own epoch, and a percentage of the reads fails or has lost some changes.
func (c *cluster) readCache(i int, read cachetracker.ReadRequest) {
	c.cacheReads[read.Server]++
	s := c.servers[read.Server]
	if read.Server == scheduler.StoreID {
		s = c.servers[read.Address]
	}
	c.after(5, func() {
		result := forwarder.CacheRead{Server: read.Server, Full: read.Full, Since: read.Since, Epoch: s.entry.StartedAt, LastChange: int64(len(s.cacheChanges))}
		declined := read.Server != scheduler.StoreID && c.sendNotice(i, s, read.StartedAt)
		_, isCut := c.cutFrom(i, read.Server)
		result.Failed = isCut || s.down || s.queueFull || declined || c.faultRandom.IntN(100) < c.cacheFaultPercent
		result.ChangesLost = !read.Full && c.faultRandom.IntN(100) < c.cacheFaultPercent
		result.Changes = append(result.Changes, s.cacheChanges[min(read.Since, result.LastChange):]...)
		c.step(i, result)
	})
}

// TestOneInstanceReadsEachCache sends light traffic through nine instances and verifies
// that each engine's cache is read about once a second, not once a second by every
// instance.
func TestOneInstanceReadsEachCache(t *testing.T) {
	c := newCluster(t, 1, 9)
	clear(c.cacheReads)
	const seconds = 30
	for n := range seconds * 20 {
		c.sendRequest(n%9, "stream")
		c.run(50)
	}
	for i := range 6 {
		require.LessOrEqual(t, c.cacheReads[fmt.Sprint("e", i)], 2*seconds)
		require.GreaterOrEqual(t, c.cacheReads[fmt.Sprint("e", i)], seconds/2)
	}
	require.Zero(t, c.cacheReads["r0"], "a service without weights has no cache")
	c.run(3 * clock.Second)
	c.checkInvariants()
}

// TestRestartedInstanceReadsCaches restarts all instances and verifies that prompts
// then go to an engine that has their shared parts cached or fetches them from one.
func TestRestartedInstanceReadsCaches(t *testing.T) {
	c := newCluster(t, 2, 3)
	for n := range 200 {
		c.sendRequest(n%3, "stream")
		c.run(30)
	}
	c.run(3 * clock.Second)
	for i := range c.instances {
		c.startInstance(i)
	}
	c.run(500)
	for n := range 21 {
		id := c.sendRequest(n%3, "stream")
		r := c.requests[id]
		require.Positive(t, r.attempts)
		require.True(t, c.hasSharedParts(r.lastDispatch.Server, r) || c.hasSharedParts(r.lastDispatch.FetchAddress, r), "%s goes to %s, which fetches from %q", id, r.lastDispatch.Server, r.lastDispatch.FetchAddress)
		c.run(30)
	}
}

// hasSharedParts reports whether the engine has the shared parts of the request.
func (c *cluster) hasSharedParts(id string, r *request) bool {
	s, ok := c.servers[id]
	if !ok {
		return false
	}
	tokens := map[string]int64{}
	for _, change := range s.cacheChanges {
		tokens[change.Salt+change.PartID] = change.Tokens
	}
	for _, part := range r.parts[:len(r.parts)-1] {
		if tokens[r.lastDispatch.CacheSalt+part.ID] < part.Tokens {
			return false
		}
	}
	return true
}

// TestStoresOfDomainsDiffer verifies that an instance does not take the contents of
// another failure domain's cache store for those of its own.
func TestStoresOfDomainsDiffer(t *testing.T) {
	c := newClusterIn(t, 1, 2, 2)
	state := newDesiredState(2)
	for i, domain := range []string{"a", "b"} {
		name := "store-" + domain
		state.Services[name] = desired.Service{Name: name, CacheStoreAddress: name, Domain: domain, CacheTokens: 700_000}
		c.servers["store-"+domain] = &server{entry: registry.Entry{ID: name, StartedAt: int64(i + 1)}}
	}
	for i := range c.instances {
		c.step(i, forwarder.StateRead{State: state, ConfirmedAt: c.now})
	}
	c.run(clock.Second)
	first := c.sendRequest(1, "stream")
	require.Equal(t, "store-b", c.requests[first].lastDispatch.SaveAddress)
	c.run(clock.Second)
	// The engine that has the parts leaves, as seen by the other instance.
	c.step(0, forwarder.ServerChanged{Entry: c.servers[c.requests[first].lastDispatch.Server].entry, Removed: true})
	c.requests["second"] = &request{instance: 0, kind: "stream", parts: c.requests[first].parts}
	c.step(0, forwarder.RequestArrived{Request: forwarder.Request{
		ID: "second", Host: host, Method: "POST", Path: "/stream/x", Key: secret.New(goodKey), CallerTimeout: 2500, Fingerprint: "second",
		Model: model, PromptTokens: 1000, OutputTokens: 20, PromptParts: c.requests[first].parts,
	}})
	dispatch := c.requests["second"].lastDispatch
	require.Equal(t, "store-a", dispatch.SaveAddress, "its own store does not have the parts: %+v\n%s", dispatch, c.logOf("second"))
	require.NotContains(t, dispatch.FetchAddress, "store")
}
