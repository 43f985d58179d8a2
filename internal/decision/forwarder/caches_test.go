package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// addToCache notes that the engine has the parts from now on; one that drops parts drops one
// now and then.
func (s *server) addToCache(salt string, parts []placer.Part, drops bool) {
	for _, part := range parts {
		s.cacheChanges = append(s.cacheChanges, forwarder.CacheChange{Salt: salt, Part: part.ID, Tokens: part.Tokens})
	}
	if drops && len(parts) > 0 && len(s.cacheChanges)%11 == 0 {
		s.cacheChanges = append(s.cacheChanges, forwarder.CacheChange{Salt: salt, Part: parts[1].ID})
	}
}

// readCache is a server that tells its cache. Its starts are told apart, and at times it
// does not answer, or has forgotten some changes.
func (w *cluster) readCache(i int, read cachetracker.Read) {
	w.cacheReads[read.Server]++
	s := w.servers[read.Server]
	w.after(5, func() {
		said := forwarder.CacheRead{Server: read.Server, All: read.All, Since: read.Since, Epoch: s.entry.Born, Next: int64(len(s.cacheChanges))}
		said.Failed = s.down || w.faultRandom.IntN(100) < w.cacheFaultPercent
		said.Lost = !read.All && w.faultRandom.IntN(100) < w.cacheFaultPercent
		said.Changes = append(said.Changes, s.cacheChanges[min(read.Since, said.Next):]...)
		w.step(i, said)
	})
}

// TestOneInstanceReadsEachCache replays calm traffic at nine instances: each engine's cache is
// read about once a second, by one of them.
func TestOneInstanceReadsEachCache(t *testing.T) {
	w := newCluster(t, 1, 9)
	clear(w.cacheReads)
	const seconds = 30
	for n := range seconds * 20 {
		w.sendRequest(n%9, "stream")
		w.run(50)
	}
	for i := range 6 {
		require.LessOrEqual(t, w.cacheReads[fmt.Sprint("e", i)], 2*seconds)
		require.GreaterOrEqual(t, w.cacheReads[fmt.Sprint("e", i)], seconds/2)
	}
	require.Zero(t, w.cacheReads["r0"], "a plain service has no cache")
	w.run(3 * clock.Second)
	w.checkInvariants()
}

// TestRestartedInstanceReadsCaches replays the restart of all instances: a prompt goes to
// an engine that has its shared parts, or fetches them there.
func TestRestartedInstanceReadsCaches(t *testing.T) {
	w := newCluster(t, 2, 3)
	for n := range 200 {
		w.sendRequest(n%3, "stream")
		w.run(30)
	}
	w.run(3 * clock.Second)
	for i := range w.instances {
		w.startInstance(i)
	}
	w.run(500)
	for n := range 21 {
		id := w.sendRequest(n%3, "stream")
		r := w.requests[id]
		require.Positive(t, r.attempts)
		require.True(t, w.hasSharedParts(r.lastDispatch.Server, r) || w.hasSharedParts(r.lastDispatch.Source, r), "%s is sent to %s, from %q", id, r.lastDispatch.Server, r.lastDispatch.Source)
		w.run(30)
	}
}

// hasSharedParts reports whether the engine hasSharedParts the shared parts of the request.
func (w *cluster) hasSharedParts(id string, r *request) bool {
	s, ok := w.servers[id]
	if !ok {
		return false
	}
	tokens := map[string]int64{}
	for _, change := range s.cacheChanges {
		tokens[change.Salt+change.Part] = change.Tokens
	}
	for _, part := range r.parts[:len(r.parts)-1] {
		if tokens[r.lastDispatch.Salt+part.ID] < part.Tokens {
			return false
		}
	}
	return true
}
