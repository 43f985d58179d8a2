package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/allotter"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// tellEvery is the time between two digests: short against the target of an
	// answer, and against the refill of a burst.
	tellEvery = 200 * clock.Millisecond
	// tellAfterPrompt is the least time between two digests when a long prompt has been
	// sent: the others must not choose the same engine meanwhile.
	tellAfterPrompt = 40 * clock.Millisecond
	// longPrompt is the tokens to read from which a prompt counts as long: a tenth of a
	// usual target.
	longPrompt = 1500
	// slowTold is how many digests go between two that have what seldom changes.
	slowTold = 4
	// peerGone is after how long a peer that is not listed any more is forgotten.
	peerGone = 15 * clock.Second
)

// peer is another instance.
type peer struct {
	address     string
	domain      string
	incarnation string
	sequence    int64
	leaving     bool
	storeDown   bool
	heardAt     clock.Millis // heardAt is 0 for one that was only listed.
	listed      bool
	updating    []string
}

func (p peer) heard(now clock.Millis) bool {
	return p.heardAt > 0 && now.Since(p.heardAt) < allotter.PeerTimeout
}

func (f *Forwarder) peersListed(listed PeersListed) {
	f.peersKnown = true
	for name, known := range f.peers {
		known.listed = false
		f.peers[name] = known
	}
	for name, address := range listed.Addresses {
		if name == f.site.Name {
			continue
		}
		known := f.peers[name]
		known.listed = true
		if known.address == "" || !known.heard(f.now) {
			known.address = address
		}
		f.peers[name] = known
	}
	maps.DeleteFunc(f.peers, func(_ string, p peer) bool {
		return !p.listed && (p.heardAt == 0 || f.now.Since(p.heardAt) > peerGone)
	})
}

// Silent returns the listed peers that have not been heard for so long that their
// entries can be removed, while others are heard.
func (f *Forwarder) Silent() []string {
	var silent []string
	heard := 0
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[name]
		if p.heard(f.now) {
			heard++
		} else if p.listed && f.now.Since(max(p.heardAt, f.began)) > peerGone {
			silent = append(silent, name)
		}
	}
	if heard < len(silent) || f.rank() != 0 {
		return nil
	}
	return silent
}

// unknownMembers is the number of instances that is assumed until the peers have been
// listed: a limit's part must not be too large meanwhile.
const unknownMembers = 10

// members returns the number of instances, this one included.
func (f *Forwarder) members() int {
	if !f.peersKnown {
		return max(unknownMembers, len(f.peers)+1)
	}
	return len(f.peers) + 1
}

func (f *Forwarder) countMembers() {
	heard := 1
	for _, p := range f.peers {
		if p.heard(f.now) {
			heard++
		}
	}
	f.shares.SetMembers(f.now, heard, f.members())
}

// rank returns the instance's place among those that are heard, stay and reach the
// store; 0 is the first.
func (f *Forwarder) rank() int { return f.rankWithout("") }

// rankWithout returns the rank among all but the named peer.
func (f *Forwarder) rankWithout(absent string) int {
	own := chooser.Rendezvous(0, f.site.Name)
	place := 0
	for name, p := range f.peers {
		if name != absent && p.heard(f.now) && !p.leaving && !p.storeDown && chooser.Rendezvous(0, name) > own {
			place++
		}
	}
	return place
}

// tell sends the digest to all peers, when it is due.
func (f *Forwarder) tell() {
	if f.now < f.tellDue {
		return
	}
	f.tellDue = f.now.Add(tellEvery)
	var to []string
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		if address := f.peers[name].address; address != "" {
			to = append(to, address)
		}
	}
	if len(to) == 0 {
		return
	}
	f.sequence++
	f.toldAt = f.now
	defer func() { f.cacheNews = map[string]cachetracker.Delta{} }()
	state := digest.Digest{
		Name: f.site.Name, Domain: f.site.Domain, Address: f.site.Peers,
		Incarnation: f.incarnation, Sequence: f.sequence, Leaving: f.draining,
		Spent: f.shares.Admitted(), Loads: f.loads(), Sent: f.places.RecentlySent(f.now),
		Caches: f.cacheNews,
		Down:   f.down(), Updating: f.orders.UpdatingEngines(),
		Lease: f.orders.Observation(), Orders: f.orders.HoldsLease(f.now),
		StoreDown: f.storeDown, Wish: f.orders.RelayRequest(f.now),
	}
	if f.tellAll || f.sequence%slowTold == 0 {
		f.tellAll = false
		state.Levels, state.Weights = f.shares.Levels(f.now), f.rumours
		state.Named, state.Crashes = f.orders.VersionAges(f.now), f.crashes
	}
	f.emit(Tell{To: to, Digest: state})
}

// loads returns what this instance has placed, by server.
func (f *Forwarder) loads() map[string][3]int64 {
	loads := map[string][3]int64{}
	for server, load := range f.places.OwnLoads() {
		loads[server] = [3]int64{int64(load.Requests), load.PrefillTokens, load.MemoryTokens}
	}
	return loads
}

// tellOfPrompt sends the next digest soon, when a long prompt has been sent.
func (f *Forwarder) tellOfPrompt(missed int64) {
	if missed >= longPrompt {
		f.tellDue = min(f.tellDue, f.toldAt.Add(tellAfterPrompt))
	}
}

// tellSoon sends the next digest in this step, with all that it can have.
func (f *Forwarder) tellSoon() { f.tellDue, f.tellAll = 0, true }

// down returns the servers that can't be reached from here.
func (f *Forwarder) down() []string {
	var down []string
	for _, server := range f.servers.All() {
		if server.Down() {
			down = append(down, server.ID)
		}
	}
	return down
}

// hearDown takes the word of a peer of the own failure domain, which has the same ways,
// for servers that can't be reached. A health check follows.
func (f *Forwarder) hearDown(state digest.Digest) {
	if state.Domain != f.site.Domain {
		return
	}
	for _, id := range state.Down {
		if server, ok := f.servers.Server(id); ok && !server.Down() && f.servers.MarkReportedUnreachable(f.now, id) {
			f.check(id)
		}
	}
}

func (f *Forwarder) peerHeard(state digest.Digest) {
	known, met := f.peers[state.Name]
	if state.Name == f.site.Name || (met && known.incarnation == state.Incarnation && state.Sequence <= known.sequence) {
		return
	}
	known.address, known.domain = state.Address, state.Domain
	known.incarnation, known.sequence = state.Incarnation, state.Sequence
	known.storeDown = state.StoreDown
	known.leaving, known.heardAt, known.updating = state.Leaving, f.now, state.Updating
	f.peers[state.Name] = known
	f.shares.ReceivePeer(f.now, state.Name, state.Incarnation, state.Spent, state.Levels)
	loads := make(map[string]placer.Load, len(state.Loads))
	for server, load := range state.Loads {
		loads[server] = placer.Load{Requests: int(load[0]), PrefillTokens: load[1], MemoryTokens: load[2]}
	}
	f.places.ReceiveLoads(f.now, state.Name, loads)
	f.hearDown(state)
	f.places.ReceiveSent(f.now, state.Sent)
	f.hearCaches(state.Caches)
	for model, ages := range state.Named {
		for version, age := range ages {
			f.orders.AddVersion(model, version, f.now.Add(-age), true)
		}
	}
	f.orders.HandlePeerState(f.now, state.Lease, state.Orders)
	if !f.storeDown && f.rankWithout(state.Name) == 0 {
		f.perform(f.orders.Relay(state.Wish))
	}
	for server, models := range state.Weights {
		for model, version := range models {
			if entry, ok := f.servers.Server(server); ok && entry.Entry.WeightVersions[model] < version {
				f.servers.SetWeightVersion(server, model, version)
			}
		}
	}
	for fingerprint, servers := range state.Crashes {
		for _, server := range servers {
			f.blameFor(fingerprint, server)
		}
	}
}
