// Package tracker maintains one instance's view of the backend servers and its
// peers. The view is built from the platform's instance list, which lags, from
// heartbeats, and from the outcomes of the instance's own attempts.
//
// The view may be wrong. Errors cost time but never safety: ownership that safety
// depends on changes only in the platform.
//
// # Usage
//
//	known := tracker.New("split-a-1", "split-a")
//	known.ApplyListing(revision, instances)
//	servers := known.Preferred(now, known.Engines("scarp"))
package tracker

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// maxCellSize is the maximum number of engines in a cell.
const maxCellSize = 16

// Timeouts of suspect backend servers.
const (
	// suspectThreshold is the number of consecutive failures that makes a server suspect.
	suspectThreshold = 2
	// minSuspectTimeout is the time for which a server is suspect at first; each
	// further failure doubles it.
	minSuspectTimeout = clock.Second
	// maxSuspectTimeout is the upper bound of the doubling.
	maxSuspectTimeout = 16 * clock.Second
)

// Tracker is one instance's view of the others. It is not safe for concurrent
// use.
type Tracker struct {
	self         string
	domain       string
	servers      map[string]Server
	peers        map[string]Peer
	listRevision int64
	// cells caches the cells by model until the instance list changes.
	cells map[string]modelCells
}

// modelCells are the cells of one model, as seen from the local failure domain.
type modelCells struct {
	engineNames [][]string
	// spansDomains is set when the only cell has the engines of all failure domains.
	spansDomains bool
}

// New returns the Tracker of the named instance in the failure domain.
func New(self, domain string) *Tracker {
	return &Tracker{self: self, domain: domain, servers: map[string]Server{}, peers: map[string]Peer{}, cells: map[string]modelCells{}}
}

// ListRevision returns the revision of the instance list that was applied last.
func (t *Tracker) ListRevision() int64 { return t.listRevision }

// ApplyListing applies changed entries of the instance list. Entries of an older
// revision than the last one are ignored.
func (t *Tracker) ApplyListing(revision int64, changed []objectstore.Instance) {
	if revision < t.listRevision {
		return
	}
	t.listRevision = revision
	clear(t.cells)
	for _, instance := range changed {
		if instance.Role == objectstore.RoleEntry {
			t.updatePeer(instance)
			continue
		}
		t.updateServer(instance)
	}
}

func (t *Tracker) updateServer(instance objectstore.Instance) {
	if instance.State == objectstore.StateGone {
		delete(t.servers, instance.Name)
		return
	}
	known, ok := t.servers[instance.Name]
	if !ok || known.Incarnation != instance.Incarnation {
		known = Server{InFlight: known.InFlight}
	}
	known.Instance = instance
	t.servers[instance.Name] = known
}

func (t *Tracker) updatePeer(instance objectstore.Instance) {
	if instance.Name == t.self {
		return
	}
	known := t.peers[instance.Name]
	known.Listed = instance.State != objectstore.StateGone
	if !known.Listed && known.LastSeen == 0 {
		delete(t.peers, instance.Name)
		return
	}
	known.Name = instance.Name
	known.Domain = instance.Domain
	known.Address = instance.Address
	known.Leaving = known.Leaving || instance.State == objectstore.StateLeaving
	t.peers[instance.Name] = known
}

// Listing returns the known entries of the instance list, by name.
func (t *Tracker) Listing() []objectstore.Instance {
	var entries []objectstore.Instance
	for _, server := range t.Servers() {
		entries = append(entries, server.Instance)
	}
	for _, peer := range t.Peers() {
		if peer.Listed {
			entries = append(entries, objectstore.Instance{Name: peer.Name, Role: objectstore.RoleEntry, Domain: peer.Domain, Address: peer.Address, State: objectstore.StateLive})
		}
	}
	return entries
}

// RecordHeartbeat records a peer's heartbeat.
func (t *Tracker) RecordHeartbeat(now clock.Millis, peer Peer) {
	if peer.Name == t.self {
		return
	}
	known := t.peers[peer.Name]
	peer.Listed = known.Listed
	peer.LastSeen = max(now, 1)
	if peer.Address == "" {
		peer.Address = known.Address
	}
	t.peers[peer.Name] = peer
}

// ExpirePeers removes the peers that are neither listed nor alive.
func (t *Tracker) ExpirePeers(now clock.Millis) {
	for name, peer := range t.peers {
		if !peer.Listed && !peer.Alive(now) {
			delete(t.peers, name)
		}
	}
}

// Peers returns all known peers, by name.
func (t *Tracker) Peers() []Peer {
	return sortedValues(t.peers)
}

// Peer returns the named peer.
func (t *Tracker) Peer(name string) (Peer, bool) {
	peer, ok := t.peers[name]
	return peer, ok
}

// LivePeers returns the peers in the failure domain that are alive, by name.
func (t *Tracker) LivePeers(now clock.Millis, domain string) []Peer {
	return slices.DeleteFunc(t.Peers(), func(p Peer) bool {
		return p.Domain != domain || !p.Alive(now)
	})
}

// IdentityAlive reports whether an incarnation of an instance is alive, judging by
// its heartbeats.
func (t *Tracker) IdentityAlive(now clock.Millis, identity string) bool {
	for _, peer := range t.peers {
		if peer.Identity() == identity {
			return peer.Alive(now)
		}
	}
	return false
}

// Servers returns all backend servers, by name.
func (t *Tracker) Servers() []Server {
	return sortedValues(t.servers)
}

// Server returns the named backend server.
func (t *Tracker) Server(name string) (Server, bool) {
	server, ok := t.servers[name]
	return server, ok
}

// Engines returns the live servers that serve the model.
func (t *Tracker) Engines(model string) []Server {
	return t.liveServers(func(s Server) bool { return s.serves(model) })
}

// Cell is a group of a model's engines among which one is selected.
type Cell struct {
	Servers []Server
	// Index is the cell's index among the cells of the model.
	Index uint64
	// SpansDomains is set when the cell has the engines of all failure domains.
	SpansDomains bool
}

// Cell returns the cell of the key. A model's engines in a domain form cells of at
// most maxCellSize; if all domains together have no more engines, they form one.
func (t *Tracker) Cell(model string, key uint64) Cell {
	found, ok := t.cells[model]
	if !ok {
		found = t.buildCells(model)
		t.cells[model] = found
	}
	if len(found.engineNames) == 0 {
		return Cell{}
	}
	cell := Cell{Index: key % uint64(len(found.engineNames)), SpansDomains: found.spansDomains}
	for _, name := range found.engineNames[cell.Index] {
		cell.Servers = append(cell.Servers, t.servers[name])
	}
	return cell
}

func (t *Tracker) buildCells(model string) modelCells {
	var engines, local []string
	for _, server := range t.Engines(model) {
		engines = append(engines, server.Name)
		if server.Domain == t.domain {
			local = append(local, server.Name)
		}
	}
	if len(engines) > 0 && len(engines) <= maxCellSize {
		return modelCells{engineNames: [][]string{engines}, spansDomains: true}
	}
	count := (len(local) + maxCellSize - 1) / maxCellSize
	built := modelCells{engineNames: make([][]string, count)}
	for i := range built.engineNames {
		built.engineNames[i] = local[i*len(local)/count : (i+1)*len(local)/count]
	}
	return built
}

// InOtherDomain reports whether the server is in another failure domain.
func (t *Tracker) InOtherDomain(server Server) bool {
	return server.Domain != t.domain
}

// SuspectDomainOf marks all servers in the failure domain of the named server as
// suspect, unless that is the local domain. It is called when the named server can't be
// reached.
func (t *Tracker) SuspectDomainOf(now clock.Millis, name string) {
	unreachable, ok := t.servers[name]
	if !ok || !t.InOtherDomain(unreachable) {
		return
	}
	for other, server := range t.servers {
		if server.Domain == unreachable.Domain {
			server.suspectUntil = max(server.suspectUntil, now.Add(minSuspectTimeout))
			t.servers[other] = server
		}
	}
}

// DelegatedAttemptEnded counts the end of an attempt at the named server for which
// this instance selected the server on behalf of another instance.
func (t *Tracker) DelegatedAttemptEnded(name string) {
	if server, ok := t.servers[name]; ok {
		server.InFlight = max(server.InFlight-1, 0)
		t.servers[name] = server
	}
}

// Services returns the live servers of the service.
func (t *Tracker) Services(service string) []Server {
	return t.liveServers(func(s Server) bool { return s.Role == objectstore.RoleService && s.Service == service })
}

func (t *Tracker) liveServers(match func(Server) bool) []Server {
	return slices.DeleteFunc(t.Servers(), func(s Server) bool {
		return s.State != objectstore.StateLive || !match(s)
	})
}

// Preferred returns the servers to select from: those of the local failure domain
// that are not suspect; if there are none, those of other domains that are not
// suspect; else the suspect ones.
func (t *Tracker) Preferred(now clock.Millis, servers []Server) []Server {
	var local, remote, suspect []Server
	for _, server := range servers {
		switch {
		case server.Suspect(now):
			suspect = append(suspect, server)
		case server.Domain == t.domain:
			local = append(local, server)
		default:
			remote = append(remote, server)
		}
	}
	if len(local) > 0 {
		return local
	}
	if len(remote) > 0 {
		return remote
	}
	return suspect
}

// AttemptStarted counts an attempt that started at the named server.
func (t *Tracker) AttemptStarted(name string) {
	if server, ok := t.servers[name]; ok {
		server.InFlight++
		t.servers[name] = server
	}
}

// AttemptEnded counts an attempt that ended at the named server; healthy is false
// if it failed for another reason than lack of capacity. After suspectThreshold
// consecutive failures of this kind the server is suspect.
func (t *Tracker) AttemptEnded(now clock.Millis, name string, healthy bool) {
	server, ok := t.servers[name]
	if !ok {
		return
	}
	server.InFlight = max(server.InFlight-1, 0)
	if healthy {
		server.consecutiveFailures = 0
		server.suspectUntil = 0
	} else {
		server.consecutiveFailures++
	}
	if server.consecutiveFailures >= suspectThreshold {
		server.suspectUntil = now.Add(suspectTimeout(server.consecutiveFailures))
	}
	t.servers[name] = server
}

// suspectTimeout returns the timeout after the given number of failures; it doubles
// with each one.
func suspectTimeout(failures int) clock.Millis {
	doublings := min(failures-suspectThreshold, 4)
	return min(minSuspectTimeout<<doublings, maxSuspectTimeout)
}

func sortedValues[V any](entries map[string]V) []V {
	values := make([]V, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		values = append(values, entries[name])
	}
	return values
}
