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
	// broadcastInterval is the time between two digests: short against the target of an
	// answer, and against the refill of a burst.
	broadcastInterval = 200 * clock.Millisecond
	// promptBroadcastInterval is the least time between two digests when a long prompt has been
	// sent: the others must not choose the same engine meanwhile.
	promptBroadcastInterval = 40 * clock.Millisecond
	// longPromptTokens is the tokens to read from which a prompt counts as long: a tenth of a
	// usual target.
	longPromptTokens = 1500
	// fullBroadcastEvery is how many digests go between two that have what seldom changes.
	fullBroadcastEvery = 4
	// peerRemovalTimeout is after how long a peer that is not listed any more is forgotten.
	peerRemovalTimeout = 15 * clock.Second
)

// peer is another instance.
type peer struct {
	address        string
	domain         string
	incarnation    string
	sequence       int64
	leaving        bool
	storeDown      bool
	lastSeen       clock.Millis // heardAt is 0 for one that was only listed.
	listed         bool
	loadingEngines []string
}

func (p peer) reachable(now clock.Millis) bool {
	return p.lastSeen > 0 && now.Since(p.lastSeen) < allotter.Silence
}

func (f *Forwarder) handlePeersListed(listed PeersListed) {
	f.havePeers = true
	for name, known := range f.peers {
		known.listed = false
		f.peers[name] = known
	}
	for name, address := range listed.Addresses {
		if name == f.settings.Name {
			continue
		}
		known := f.peers[name]
		known.listed = true
		if known.address == "" || !known.reachable(f.now) {
			known.address = address
		}
		f.peers[name] = known
	}
	maps.DeleteFunc(f.peers, func(_ string, p peer) bool {
		return !p.listed && (p.lastSeen == 0 || f.now.Since(p.lastSeen) > peerRemovalTimeout)
	})
}

// Silent returns the listed peers that have not been heard for so long that their
// entries can be removed, while others are heard.
func (f *Forwarder) Silent() []string {
	var silent []string
	heard := 0
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[name]
		if p.reachable(f.now) {
			heard++
		} else if p.listed && f.now.Since(max(p.lastSeen, f.startedAt)) > peerRemovalTimeout {
			silent = append(silent, name)
		}
	}
	if heard < len(silent) || f.instanceRank() != 0 {
		return nil
	}
	return silent
}

// assumedInstances is the number of instances that is assumed until the peers have been
// listed: a limit's part must not be too large meanwhile.
const assumedInstances = 10

// instanceCount returns the number of instances, this one included.
func (f *Forwarder) instanceCount() int {
	if !f.havePeers {
		return max(assumedInstances, len(f.peers)+1)
	}
	return len(f.peers) + 1
}

func (f *Forwarder) updateInstanceCounts() {
	heard := 1
	for _, p := range f.peers {
		if p.reachable(f.now) {
			heard++
		}
	}
	f.limiter.Members(f.now, heard, f.instanceCount())
}

// instanceRank returns the instance's place among those that are heard, stay and reach the
// store; 0 is the first.
func (f *Forwarder) instanceRank() int { return f.instanceRankWithout("") }

// instanceRankWithout returns the rank among all but the named peer.
func (f *Forwarder) instanceRankWithout(absent string) int {
	own := chooser.Rendezvous(0, f.settings.Name)
	place := 0
	for name, p := range f.peers {
		if name != absent && p.reachable(f.now) && !p.leaving && !p.storeDown && chooser.Rendezvous(0, name) > own {
			place++
		}
	}
	return place
}

// broadcastDigest sends the digest to all peers, when it is due.
func (f *Forwarder) broadcastDigest() {
	if f.now < f.nextBroadcast {
		return
	}
	f.nextBroadcast = f.now.Add(broadcastInterval)
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
	f.lastBroadcast = f.now
	defer func() { f.cacheDeltas = map[string]cachetracker.News{} }()
	state := digest.Digest{
		Name: f.settings.Name, Domain: f.settings.Domain, Address: f.settings.Peers,
		Incarnation: f.incarnation, Sequence: f.sequence, Leaving: f.draining,
		Admitted: f.limiter.Spent(), Loads: f.ownLoads(), SentParts: f.scheduler.Sent(f.now),
		CacheDeltas:        f.cacheDeltas,
		UnreachableServers: f.unreachableServers(), LoadingEngines: f.rollout.Updating(),
		Lease: f.rollout.Sight(), HoldsLease: f.rollout.Holding(f.now),
		StoreDown: f.storeDown, RelayRequest: f.rollout.Wish(f.now),
	}
	if f.broadcastFull || f.sequence%fullBroadcastEvery == 0 {
		f.broadcastFull = false
		state.BucketLevels, state.ReportedWeights = f.limiter.Levels(f.now), f.reportedWeights
		state.WeightsAges, state.CrashedServers = f.rollout.Names(f.now), f.crashedServers
	}
	f.emit(Tell{To: to, Digest: state})
}

// ownLoads returns what this instance has placed, by server.
func (f *Forwarder) ownLoads() map[string][3]int64 {
	loads := map[string][3]int64{}
	for server, load := range f.scheduler.Own() {
		loads[server] = [3]int64{int64(load.Requests), load.Prefill, load.Tokens}
	}
	return loads
}

// broadcastLongPrompt sends the next digest soon, when a long prompt has been sent.
func (f *Forwarder) broadcastLongPrompt(missed int64) {
	if missed >= longPromptTokens {
		f.nextBroadcast = min(f.nextBroadcast, f.lastBroadcast.Add(promptBroadcastInterval))
	}
}

// broadcastNow sends the next digest in this step, with all that it can have.
func (f *Forwarder) broadcastNow() { f.nextBroadcast, f.broadcastFull = 0, true }

// unreachableServers returns the servers that can't be reached from here.
func (f *Forwarder) unreachableServers() []string {
	var down []string
	for _, server := range f.servers.All() {
		if server.Down() {
			down = append(down, server.ID)
		}
	}
	return down
}

// applyUnreachable takes the word of a peer of the own failure domain, which has the same ways,
// for servers that can't be reached. A health check follows.
func (f *Forwarder) applyUnreachable(state digest.Digest) {
	if state.Domain != f.settings.Domain {
		return
	}
	for _, id := range state.UnreachableServers {
		if server, ok := f.servers.Server(id); ok && !server.Down() && f.servers.Doubted(f.now, id) {
			f.checkHealth(id)
		}
	}
}

func (f *Forwarder) handleDigest(state digest.Digest) {
	known, met := f.peers[state.Name]
	if state.Name == f.settings.Name || (met && known.incarnation == state.Incarnation && state.Sequence <= known.sequence) {
		return
	}
	known.address, known.domain = state.Address, state.Domain
	known.incarnation, known.sequence = state.Incarnation, state.Sequence
	known.storeDown = state.StoreDown
	known.leaving, known.lastSeen, known.loadingEngines = state.Leaving, f.now, state.LoadingEngines
	f.peers[state.Name] = known
	f.limiter.Heard(f.now, state.Name, state.Incarnation, state.Admitted, state.BucketLevels)
	loads := make(map[string]placer.Load, len(state.Loads))
	for server, load := range state.Loads {
		loads[server] = placer.Load{Requests: int(load[0]), Prefill: load[1], Tokens: load[2]}
	}
	f.scheduler.Heard(f.now, state.Name, loads)
	f.applyUnreachable(state)
	f.scheduler.HeardSent(f.now, state.SentParts)
	f.applyPeerCacheReads(state.CacheDeltas)
	for model, ages := range state.WeightsAges {
		for version, age := range ages {
			f.rollout.Named(model, version, f.now.Add(-age), true)
		}
	}
	f.rollout.PeerSaw(f.now, state.Lease, state.HoldsLease)
	if !f.storeDown && f.instanceRankWithout(state.Name) == 0 {
		f.emitRolloutSteps(f.rollout.Grant(state.RelayRequest))
	}
	for server, models := range state.ReportedWeights {
		for model, version := range models {
			if entry, ok := f.servers.Server(server); ok && entry.Entry.Weights[model] < version {
				f.servers.Weights(server, model, version)
			}
		}
	}
	for fingerprint, servers := range state.CrashedServers {
		for _, server := range servers {
			f.recordCrash(fingerprint, server)
		}
	}
}
