// Package roster knows the backend servers of one instance: from their entries in
// the platform's store, which lag and lapse while the store is away, and from what
// becomes of the instance's own attempts.
//
// # Usage
//
//	servers := roster.New()
//	servers.Put(now, entry)
//	servers.Remove(now, id, lapsedUntil)
//	for _, server := range servers.Of(now, "engines") { ... }
package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Times of a server's state.
const (
	// downFor is how long a server that can't be reached gets no requests until
	// a health check finds it, and the time between two checks.
	downFor = 500 * clock.Millisecond
	// errorHalfLife is the time in which the memory of errors fades by half.
	errorHalfLife = 3 * clock.Second
)

// errorStep is the part of the error rate that the last result makes up.
const errorStep = 0.25

// Server is one backend server. Values are immutable.
type Server struct {
	Entry
	// lapsedUntil is until when a server without an entry is still used; 0 for one
	// that has an entry.
	lapsedUntil clock.Millis
	down        bool
	checkAt     clock.Millis
	errors      float64
	errorsAt    clock.Millis
	reachedAt   clock.Millis // reachedAt is when an attempt last ended there.
}

// Down reports whether the last attempt to reach the server failed.
func (s Server) Down() bool { return s.down }

// ErrorRate returns the part of the latest attempts that failed, which fades.
func (s Server) ErrorRate(now clock.Millis) float64 {
	rate := s.errors
	for span := now.Since(s.errorsAt); span >= errorHalfLife && rate > 0.01; span -= errorHalfLife {
		rate /= 2
	}
	return rate
}

// Roster is the servers by identifier. It is not safe for concurrent use.
type Roster struct {
	servers map[string]Server
}

// New returns a Roster without servers.
func New() *Roster {
	return &Roster{servers: map[string]Server{}}
}

// Put takes in an entry. It returns the server before and whether there was one.
func (r *Roster) Put(entry Entry) (Server, bool) {
	before, known := r.servers[entry.ID]
	if known && before.Revision > entry.Revision {
		return before, known
	}
	next := Server{Entry: entry}
	if known && before.Born == entry.Born {
		next = before
		next.Entry = entry.keeping(before.Entry)
		next.lapsedUntil = 0
	}
	r.servers[entry.ID] = next
	return before, known
}

// keeping returns the entry with the newer of both versions of each model's
// weights: entries lag behind what an engine says in its answers.
func (e Entry) keeping(before Entry) Entry {
	for model, version := range before.Weights {
		if _, ok := e.Weights[model]; ok && version > e.Weights[model] {
			e = e.WithWeights(model, version)
		}
	}
	return e
}

// Remove takes in that an entry is gone. Until lapsedUntil it may only have lapsed in
// an outage of the store; a server that does not leave is used until then.
func (r *Roster) Remove(now clock.Millis, id string, lapsedUntil clock.Millis) {
	server, known := r.servers[id]
	if !known {
		return
	}
	if now >= lapsedUntil || server.Draining {
		delete(r.servers, id)
		return
	}
	server.lapsedUntil = lapsedUntil
	r.servers[id] = server
}

// Replace takes in a whole list.
func (r *Roster) Replace(now clock.Millis, entries []Entry, lapsedUntil clock.Millis) {
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
		r.Put(entry)
	}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		if !listed[id] {
			r.Remove(now, id, lapsedUntil)
		}
	}
}

// Expire drops the servers whose lapsed entries have not come back.
func (r *Roster) Expire(now clock.Millis) {
	maps.DeleteFunc(r.servers, func(_ string, server Server) bool {
		return server.lapsedUntil != 0 && now >= server.lapsedUntil
	})
}

// Server returns the server with the identifier.
func (r *Roster) Server(id string) (Server, bool) {
	server, ok := r.servers[id]
	return server, ok
}

// All returns all servers by identifier.
func (r *Roster) All() []Server {
	return slices.SortedFunc(maps.Values(r.servers), func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// Of returns the servers of the service that take new requests, by identifier;
// among them those that are down.
func (r *Roster) Of(now clock.Millis, service string) []Server {
	return slices.DeleteFunc(r.All(), func(server Server) bool {
		return server.Service != service || server.Draining || (server.lapsedUntil != 0 && now >= server.lapsedUntil)
	})
}

// Weights notes the version that a server was heard to have.
func (r *Roster) Weights(id, model string, version int64) {
	server, ok := r.servers[id]
	if !ok || server.Entry.Weights[model] == version {
		return
	}
	server.Entry = server.Entry.WithWeights(model, version)
	r.servers[id] = server
}

// Unreachable notes that the server could not be reached. It reports whether that
// is new.
func (r *Roster) Unreachable(now clock.Millis, id string) bool {
	server, ok := r.servers[id]
	if !ok {
		return false
	}
	fresh := !server.down
	server.down = true
	server.checkAt = now.Add(downFor)
	r.servers[id] = server
	return fresh
}

// Doubted notes that a peer can't reach the server. Unless an attempt from here has
// ended there lately, it counts as down until a health check. It reports whether that
// is so.
func (r *Roster) Doubted(now clock.Millis, id string) bool {
	server, ok := r.servers[id]
	if !ok || server.down || (server.reachedAt != 0 && now.Since(server.reachedAt) < downFor) {
		return false
	}
	server.down = true
	server.checkAt = now.Add(downFor)
	r.servers[id] = server
	return true
}

// Result notes how an attempt ended at a server that was reached.
func (r *Roster) Result(now clock.Millis, id string, failed bool) {
	server, ok := r.servers[id]
	if !ok {
		return
	}
	server.down = false
	rate := server.ErrorRate(now) * (1 - errorStep)
	if failed {
		rate += errorStep
	}
	server.reachedAt = now
	server.errors = rate
	server.errorsAt = now
	r.servers[id] = server
}

// Due returns the servers that are down and due for a health check, and counts
// them as checked.
func (r *Roster) Due(now clock.Millis) []Server {
	var due []Server
	for _, server := range r.All() {
		if server.down && now >= server.checkAt {
			due = append(due, server)
			server.checkAt = now.Add(2 * downFor)
			r.servers[server.ID] = server
		}
	}
	return due
}
