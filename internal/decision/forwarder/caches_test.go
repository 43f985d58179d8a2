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

// cache notes that the engine has the parts from now on; one that drops parts drops one
// now and then.
func (s *server) cache(salt string, parts []placer.Part, drops bool) {
	for _, part := range parts {
		s.cached = append(s.cached, forwarder.CacheChange{Salt: salt, Part: part.ID, Tokens: part.Tokens})
	}
	if drops && len(parts) > 0 && len(s.cached)%11 == 0 {
		s.cached = append(s.cached, forwarder.CacheChange{Salt: salt, Part: parts[1].ID})
	}
}

// readCache is a server that tells its cache. Its starts are told apart, and at times it
// does not answer, or has forgotten some changes.
func (w *world) readCache(i int, read cachetracker.ReadRequest) {
	w.readings[read.Server]++
	s := w.servers[read.Server]
	w.after(5, func() {
		said := forwarder.CacheRead{Server: read.Server, All: read.Full, Since: read.Since, Epoch: s.entry.StartedAt, Next: int64(len(s.cached))}
		said.Failed = s.gone || w.cacheSource.IntN(100) < w.cacheFaults
		said.Lost = !read.Full && w.cacheSource.IntN(100) < w.cacheFaults
		said.Changes = append(said.Changes, s.cached[min(read.Since, said.Next):]...)
		w.step(i, said)
	})
}

// TestCachesAreReadByOne replays calm traffic at nine instances: each engine's cache is
// read about once a second, by one of them.
func TestCachesAreReadByOne(t *testing.T) {
	w := newWorld(t, 1, 9)
	clear(w.readings)
	const seconds = 30
	for n := range seconds * 20 {
		w.send(n%9, "stream")
		w.run(50)
	}
	for i := range 6 {
		require.LessOrEqual(t, w.readings[fmt.Sprint("e", i)], 2*seconds)
		require.GreaterOrEqual(t, w.readings[fmt.Sprint("e", i)], seconds/2)
	}
	require.Zero(t, w.readings["r0"], "a plain service has no cache")
	w.run(3 * clock.Second)
	w.check()
}

// TestRestartedInstanceUsesCaches replays the restart of all instances: a prompt goes to
// an engine that has its shared parts, or fetches them there.
func TestRestartedInstanceUsesCaches(t *testing.T) {
	w := newWorld(t, 2, 3)
	for n := range 200 {
		w.send(n%3, "stream")
		w.run(30)
	}
	w.run(3 * clock.Second)
	for i := range w.nodes {
		w.start(i)
	}
	w.run(500)
	for n := range 21 {
		id := w.send(n%3, "stream")
		r := w.requests[id]
		require.Positive(t, r.attempts)
		require.True(t, w.has(r.last.Server, r) || w.has(r.last.Source, r), "%s is sent to %s, from %q", id, r.last.Server, r.last.Source)
		w.run(30)
	}
}

// has reports whether the engine has the shared parts of the request.
func (w *world) has(id string, r *request) bool {
	s, ok := w.servers[id]
	if !ok {
		return false
	}
	tokens := map[string]int64{}
	for _, change := range s.cached {
		tokens[change.Salt+change.Part] = change.Tokens
	}
	for _, part := range r.parts[:len(r.parts)-1] {
		if tokens[r.last.Salt+part.ID] < part.Tokens {
			return false
		}
	}
	return true
}
