// Package tracker knows the backend servers and the peers of one instance: from
// the platform's instance list, which lags, from heartbeats, and from what
// becomes of the instance's own attempts.
//
// A tracker is never sure. What it says costs time when it is wrong, never
// safety: ownership that matters moves only in the platform.
//
// # Usage
//
//	known := tracker.New("split-a-1", "split-a")
//	known.Listed(now, instances)
//	servers := known.Prefer(now, known.Engines("scarp"))
package tracker

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// cellSize is the most engines in a cell.
const cellSize = 16

// Suspicion of backend servers.
const (
	// suspectAfter is the failures in a row that make a server suspect.
	suspectAfter = 2
	// suspectFor is how long a suspect server gets no new work at first.
	suspectFor = clock.Second
	// maxSuspectFor bounds the doubling of suspectFor.
	maxSuspectFor = 16 * clock.Second
)

// Tracker is what one instance knows of the others. It is not safe for
// concurrent use.
type Tracker struct {
	self         string
	domain       string
	servers      map[string]Server
	peers        map[string]Peer
	listRevision int64
	// cells has the cells by model, until the list changes.
	cells map[string]cells
}

// cells are the cells of one model that are near: names of engines.
type cells struct {
	names [][]string
	// spans tells that the one cell has the engines of all failure domains.
	spans bool
}

// New returns the Tracker of the named instance in the failure domain.
func New(self, domain string) *Tracker {
	return &Tracker{self: self, domain: domain, servers: map[string]Server{}, peers: map[string]Peer{}, cells: map[string]cells{}}
}

// ListRevision returns the revision of the instance list that was last read.
func (t *Tracker) ListRevision() int64 { return t.listRevision }

// ApplyListing takes in the changed entries of the instance list. Entries of an older
// revision than the last are passed over.
func (t *Tracker) ApplyListing(revision int64, changed []objectstore.Instance) {
	if revision < t.listRevision {
		return
	}
	t.listRevision = revision
	clear(t.cells)
	for _, instance := range changed {
		if instance.Role == objectstore.RoleEntry {
			t.listPeer(instance)
			continue
		}
		t.listServer(instance)
	}
}

func (t *Tracker) listServer(instance objectstore.Instance) {
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

func (t *Tracker) listPeer(instance objectstore.Instance) {
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

// Listing returns the entries of the instance list as they are known, by name.
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

// RecordHeartbeat takes in a peer's heartbeat.
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

// ExpirePeers forgets the peers that are neither listed nor heard of.
func (t *Tracker) ExpirePeers(now clock.Millis) {
	for name, peer := range t.peers {
		if !peer.Listed && !peer.Alive(now) {
			delete(t.peers, name)
		}
	}
}

// Peers returns the peers that are not known to be gone, by name.
func (t *Tracker) Peers() []Peer {
	return sortedValues(t.peers)
}

// Peer returns the named peer.
func (t *Tracker) Peer(name string) (Peer, bool) {
	peer, ok := t.peers[name]
	return peer, ok
}

// LivePeers returns the peers in the failure domain whose heartbeats come, by
// name.
func (t *Tracker) LivePeers(now clock.Millis, domain string) []Peer {
	return slices.DeleteFunc(t.Peers(), func(p Peer) bool {
		return p.Domain != domain || !p.Alive(now)
	})
}

// IdentityAlive reports whether one start of an instance is alive, as far as
// heartbeats tell.
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
	return t.live(func(s Server) bool { return s.serves(model) })
}

// Cell is some engines of a model among which one is chosen.
type Cell struct {
	Servers []Server
	// Index is the cell's place among those of the model.
	Index uint64
	// SpansDomains tells that the cell has the engines of all failure domains.
	SpansDomains bool
}

// Cell returns the cell that has the key. A model's engines in a domain form
// cells of at most cellSize; if all domains together have no more, they form one.
func (t *Tracker) Cell(model string, key uint64) Cell {
	known, ok := t.cells[model]
	if !ok {
		known = t.makeCells(model)
		t.cells[model] = known
	}
	if len(known.names) == 0 {
		return Cell{}
	}
	cell := Cell{Index: key % uint64(len(known.names)), SpansDomains: known.spans}
	for _, name := range known.names[cell.Index] {
		cell.Servers = append(cell.Servers, t.servers[name])
	}
	return cell
}

func (t *Tracker) makeCells(model string) cells {
	var all, near []string
	for _, server := range t.Engines(model) {
		all = append(all, server.Name)
		if server.Domain == t.domain {
			near = append(near, server.Name)
		}
	}
	if len(all) > 0 && len(all) <= cellSize {
		return cells{names: [][]string{all}, spans: true}
	}
	count := (len(near) + cellSize - 1) / cellSize
	made := cells{names: make([][]string, count)}
	for i := range made.names {
		made.names[i] = near[i*len(near)/count : (i+1)*len(near)/count]
	}
	return made
}

// InOtherDomain reports whether the server is in another failure domain.
func (t *Tracker) InOtherDomain(server Server) bool {
	return server.Domain != t.domain
}

// SuspectDomainOf makes all servers of the named one's failure domain suspect, when
// that is another domain: it can't be reached.
func (t *Tracker) SuspectDomainOf(now clock.Millis, name string) {
	lost, ok := t.servers[name]
	if !ok || !t.InOtherDomain(lost) {
		return
	}
	for other, server := range t.servers {
		if server.Domain == lost.Domain {
			server.suspectUntil = max(server.suspectUntil, now.Add(suspectFor))
			t.servers[other] = server
		}
	}
}

// RemoteAttemptEnded counts that an attempt of another instance has left the named server.
func (t *Tracker) RemoteAttemptEnded(name string) {
	if server, ok := t.servers[name]; ok {
		server.InFlight = max(server.InFlight-1, 0)
		t.servers[name] = server
	}
}

// Services returns the live servers of the plain service.
func (t *Tracker) Services(service string) []Server {
	return t.live(func(s Server) bool { return s.Role == objectstore.RoleService && s.Service == service })
}

func (t *Tracker) live(match func(Server) bool) []Server {
	return slices.DeleteFunc(t.Servers(), func(s Server) bool {
		return s.State != objectstore.StateLive || !match(s)
	})
}

// Preferred returns those of the servers to choose from: the ones of the own
// failure domain that are not suspect, else those of other domains, else the
// suspect ones.
func (t *Tracker) Preferred(now clock.Millis, servers []Server) []Server {
	var near, far, suspect []Server
	for _, server := range servers {
		switch {
		case server.Suspect(now):
			suspect = append(suspect, server)
		case server.Domain == t.domain:
			near = append(near, server)
		default:
			far = append(far, server)
		}
	}
	if len(near) > 0 {
		return near
	}
	if len(far) > 0 {
		return far
	}
	return suspect
}

// AttemptStarted counts an attempt that began at the named server.
func (t *Tracker) AttemptStarted(name string) {
	if server, ok := t.servers[name]; ok {
		server.InFlight++
		t.servers[name] = server
	}
}

// AttemptEnded counts an attempt that ended at the named server. An attempt that could
// not reach it, or was cut, makes it suspect after a few in a row.
func (t *Tracker) AttemptEnded(now clock.Millis, name string, reached bool) {
	server, ok := t.servers[name]
	if !ok {
		return
	}
	server.InFlight = max(server.InFlight-1, 0)
	if reached {
		server.failures = 0
		server.suspectUntil = 0
	} else {
		server.failures++
	}
	if server.failures >= suspectAfter {
		server.suspectUntil = now.Add(suspicion(server.failures))
	}
	t.servers[name] = server
}

// suspicion doubles with each failure.
func suspicion(failures int) clock.Millis {
	doublings := min(failures-suspectAfter, 4)
	return min(suspectFor<<doublings, maxSuspectFor)
}

func sortedValues[V any](entries map[string]V) []V {
	values := make([]V, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		values = append(values, entries[name])
	}
	return values
}
