// Package registry keeps one instance's view of the backend servers. It combines their
// entries in the platform's store, which are out of date, or expire, while the store is
// unavailable, with the outcomes of the instance's own attempts.
//
// # Usage
//
//	servers := registry.New()
//	servers.Put(entry)
//	servers.Remove(now, "engine-1", expiresAt)
//	for _, server := range servers.Available(now, "engines") { ... }
package registry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// healthCheckInterval is the time from a failed attempt to reach a server to its
	// health check. The server receives no requests until a check succeeds.
	healthCheckInterval = 500 * clock.Millisecond
	// reportedCheckDelay is the longest time from a report that a server is down to the
	// first health check, for each unit of the spacing.
	reportedCheckDelay = 100 * clock.Millisecond
	// errorHalfLife is the half-life of the error rate without new results.
	errorHalfLife = 3 * clock.Second
)

// errorWeight is the weight of the newest result in the error rate, which is a moving
// average.
const errorWeight = 0.25

// Server is one backend server. Values are immutable.
type Server struct {
	Entry
	// expiresAt is the time until which a server is used after its entry was removed; 0
	// for a server with an entry.
	expiresAt clock.Millis
	down      bool
	// unanswered reports whether it is down only since this instance failed to reach it
	// without finding it gone.
	unanswered  bool
	nextCheck   clock.Millis // nextCheck is the due time of the health check.
	errorRate   float64      // errorRate is the error rate at errorRateAt.
	errorRateAt clock.Millis
	lastReached clock.Millis // lastReached is the end of the latest attempt that reached it; 0 for none.
	// lastUnreachable is the time of this instance's latest failure to reach it.
	lastUnreachable clock.Millis
	// notice is what the server said in its responses.
	notice notice
}

// Down reports whether the server counts as unreachable.
func (s Server) Down() bool { return s.down }

// Unanswered reports whether the server counts as unreachable only since this instance failed to
// reach it without finding it gone.
func (s Server) Unanswered() bool { return s.unanswered }

// ErrorRate returns the fraction of the latest attempts that failed. It decays with
// errorHalfLife.
func (s Server) ErrorRate(now clock.Millis) float64 {
	rate := s.errorRate
	for elapsed := now.Since(s.errorRateAt); elapsed >= errorHalfLife && rate > 0.01; elapsed -= errorHalfLife {
		rate /= 2
	}
	return rate
}

// Registry has the servers by identifier. It is not safe for concurrent use.
type Registry struct {
	servers map[string]Server
	// notices are also kept for servers that are not listed, for when they are again.
	notices map[start]notice
	// sorted has the servers by identifier; nil after a change.
	sorted []Server
	// checkSpacing is the factor by which the health checks of this instance are further
	// apart than in a small cluster.
	checkSpacing clock.Millis
}

// instancesPerSpacing is the number of instances that check a server, each at
// healthCheckInterval, without slowing down one that is starting.
const instancesPerSpacing = 10

// SetInstances sets the number of instances. The more there are, the less often each of
// them checks a server that is down; one that reaches it tells the others.
func (r *Registry) SetInstances(count int) {
	r.checkSpacing = clock.Millis(max(1, count/instancesPerSpacing))
}

// put stores a server.
func (r *Registry) put(server Server) {
	r.servers[server.ID] = server
	r.sorted = nil
}

// New returns a Registry without servers.
func New() *Registry {
	return &Registry{servers: map[string]Server{}, notices: map[start]notice{}, checkSpacing: 1}
}

// Put adds or updates a server from its entry, unless the entry is older than the known
// one. A server that may have left under another start counts as down until its health check.
// It returns the server as it was before and whether it was known.
func (r *Registry) Put(entry Entry) (Server, bool) {
	before, known := r.servers[entry.ID]
	if known && before.position().After(entry.position()) {
		return before, known
	}
	var updated Server
	if known && before.StartedAt == entry.StartedAt {
		// After a restore of the store, its entry may be older than the known one. It
		// counts as long as the server has not written another one.
		restored := entry.Era > before.Era || entry.Revision == before.Revision
		entry.Draining = entry.Draining || (restored && before.Draining)
		updated = before
		updated.Entry = entry.withNewerWeights(before.Entry)
		updated.expiresAt = 0
	} else {
		updated = Server{Entry: entry, notice: r.notices[startOf(entry)], down: r.mayConcern(entry)}
	}
	r.put(updated)
	return before, known
}

// withNewerWeights returns the entry with the newer of both versions of each model's
// weights: entries are updated later than the version in an engine's responses.
func (e Entry) withNewerWeights(before Entry) Entry {
	for model, version := range before.WeightVersions {
		if _, ok := e.WeightVersions[model]; ok && version > e.WeightVersions[model] {
			e = e.WithWeightVersion(model, version)
		}
	}
	return e
}

// Remove records that an entry was removed. If now is before expiresAt, the entry may
// merely have expired during an outage of the store: the server is then used until
// expiresAt, unless it is leaving.
func (r *Registry) Remove(now clock.Millis, id string, expiresAt clock.Millis) {
	server, known := r.servers[id]
	if !known {
		return
	}
	if now >= expiresAt || !server.AcceptsRequests() {
		delete(r.servers, id)
		r.sorted = nil
		return
	}
	server.expiresAt = expiresAt
	r.put(server)
}

// Replace puts the entries of a full list and removes all others.
func (r *Registry) Replace(now clock.Millis, entries []Entry, expiresAt clock.Millis) {
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
		r.Put(entry)
	}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		if !listed[id] {
			r.Remove(now, id, expiresAt)
		}
	}
}

// Expire drops the servers whose entries were not put again before their expiry. It reports
// whether there were any.
func (r *Registry) Expire(now clock.Millis) bool {
	expired := false
	for id, server := range r.servers {
		if server.expiresAt != 0 && now >= server.expiresAt {
			delete(r.servers, id)
			r.sorted = nil
			expired = true
		}
	}
	return expired
}

// Server returns the server with the identifier.
func (r *Registry) Server(id string) (Server, bool) {
	server, ok := r.servers[id]
	return server, ok
}

// All returns all servers, sorted by identifier. The caller must not change the slice.
func (r *Registry) All() []Server {
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.servers), func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r.sorted
}

// Available returns the servers of the service that accept new requests, sorted by
// identifier. It includes those that are down.
func (r *Registry) Available(now clock.Millis, service string) []Server {
	var available []Server
	for _, server := range r.All() {
		if server.Service == service && server.AcceptsRequests() && (server.expiresAt == 0 || now < server.expiresAt) {
			available = append(available, server)
		}
	}
	return available
}

// SetWeightVersion sets the version of the model's weights that a server has loaded.
func (r *Registry) SetWeightVersion(id, model string, version int64) {
	server, ok := r.servers[id]
	if !ok || server.Entry.WeightVersions[model] == version {
		return
	}
	server.Entry = server.Entry.WithWeightVersion(model, version)
	r.put(server)
}

// MarkUnreachable marks the server as down after a failure that this instance itself
// saw. It reports whether the server was not down before.
func (r *Registry) MarkUnreachable(now clock.Millis, id string) bool {
	server, ok := r.servers[id]
	if !ok {
		return false
	}
	changed := !server.down
	server.unanswered = changed || server.unanswered
	r.markDown(now, server)
	return changed
}

// MarkGone does the same after a failure which shows that the server no longer runs at its
// address. It also reports true if the server was down only by MarkUnreachable before.
func (r *Registry) MarkGone(now clock.Millis, id string) bool {
	server, ok := r.servers[id]
	if !ok {
		return false
	}
	changed := !server.down || server.unanswered
	server.unanswered = false
	r.markDown(now, server)
	return changed
}

func (r *Registry) markDown(now clock.Millis, server Server) {
	server.down = true
	server.lastUnreachable = now
	server.nextCheck = now.Add(healthCheckInterval)
	r.put(server)
}

// MarkReportedUnreachable records that a peer can't reach the server. The server counts
// as down until a health check, unless an attempt of this instance has reached it within
// healthCheckInterval. The check is due after a part of the time between two checks:
// spread is a random number in [0, 1). It reports whether the server was marked as down.
func (r *Registry) MarkReportedUnreachable(now clock.Millis, id string, spread float64) bool {
	server, ok := r.servers[id]
	if !ok || server.down || (server.lastReached != 0 && now.Since(server.lastReached) < healthCheckInterval) {
		return false
	}
	server.down, server.unanswered = true, false
	server.nextCheck = now.Add(clock.Millis(spread * float64(reportedCheckDelay*(r.checkSpacing-1))))
	r.put(server)
	return true
}

// MarkReportedRecovered records that a peer can reach the server again, unless this
// instance itself failed to reach it within healthCheckInterval. It reports whether the
// server was marked as up.
func (r *Registry) MarkReportedRecovered(now clock.Millis, id string) bool {
	server, ok := r.servers[id]
	if !ok || !server.down || now.Since(server.lastUnreachable) < healthCheckInterval {
		return false
	}
	server.down = false
	r.put(server)
	return true
}

// RecordResult records the result of an attempt or a health check that reached the
// server.
func (r *Registry) RecordResult(now clock.Millis, id string, failed bool) {
	server, ok := r.servers[id]
	if !ok {
		return
	}
	server.down = false
	rate := server.ErrorRate(now) * (1 - errorWeight)
	if failed {
		rate += errorWeight
	}
	server.lastReached = now
	server.errorRate = rate
	server.errorRateAt = now
	r.put(server)
}

// RecordSilence records that the server did not respond for some time, although it may be
// sound. Whether it can be reached remains unknown.
func (r *Registry) RecordSilence(now clock.Millis, id string) {
	server, ok := r.servers[id]
	if !ok {
		return
	}
	server.errorRate = server.ErrorRate(now)*(1-errorWeight) + errorWeight
	server.errorRateAt = now
	r.put(server)
}

// DueHealthChecks returns the servers that are down, do not pause and are due for a health check. Their
// next check is due after two intervals, or more in a large cluster, unless the outcome of
// this one is recorded before.
func (r *Registry) DueHealthChecks(now clock.Millis) []Server {
	var due []Server
	for _, server := range r.All() {
		if server.down && now >= server.nextCheck && !server.Paused(now) {
			due = append(due, server)
			server.nextCheck = now.Add(2 * healthCheckInterval * r.checkSpacing)
			r.put(server)
		}
	}
	return due
}
