package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tokenbucket"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// broadcastInterval is the time between two digests: short compared with the target
	// time of a response and with the refill time of a burst.
	broadcastInterval = 200 * clock.Millisecond
	// promptBroadcastInterval is the shortest time between two digests after a long
	// prompt was sent: peers must not select the same engine meanwhile.
	promptBroadcastInterval = 40 * clock.Millisecond
	// longPromptTokens is the number of uncached tokens from which a prompt counts as
	// long: their prefill takes a tenth of a usual target time.
	longPromptTokens = 1500
	// Every fullBroadcastEvery-th digest includes the fields that seldom change.
	fullBroadcastEvery = 4
	// peerRemovalTimeout is the time since its last digest after which an unlisted peer
	// is removed, and a listed one may be removed from the store.
	peerRemovalTimeout = 15 * clock.Second
)

// peer is the state of another instance.
type peer struct {
	address     string
	domain      string
	incarnation string
	sequence    int64
	leaving     bool
	storeDown   bool
	// lastSeen is the time of the last digest; 0 if the peer is only listed.
	lastSeen       clock.Millis
	listed         bool
	loadingEngines []string
}

// reachable reports whether a digest arrived within the peer timeout.
func (p peer) reachable(now clock.Millis) bool {
	return p.lastSeen > 0 && now.Since(p.lastSeen) < tokenbucket.PeerTimeout
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

// UnresponsivePeers returns the listed peers whose entries can be removed from the
// store, because no digest of them has arrived for too long. It returns none if fewer
// peers are reachable than unresponsive, or if this instance does not have rank 0.
func (f *Forwarder) UnresponsivePeers() []string {
	var unresponsive []string
	reachable := 0
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[name]
		if p.reachable(f.now) {
			reachable++
		} else if p.listed && f.now.Since(max(p.lastSeen, f.startedAt)) > peerRemovalTimeout {
			unresponsive = append(unresponsive, name)
		}
	}
	if reachable < len(unresponsive) || f.instanceRank() != 0 {
		return nil
	}
	return unresponsive
}

// assumedInstances is the number of instances assumed until the peers have been listed,
// so that the instance's share of a limit is not too large meanwhile.
const assumedInstances = 10

// instanceCount returns the number of instances, including this one.
func (f *Forwarder) instanceCount() int {
	if !f.havePeers {
		return max(assumedInstances, len(f.peers)+1)
	}
	return len(f.peers) + 1
}

func (f *Forwarder) updateInstanceCounts() {
	reachable := 1
	for _, p := range f.peers {
		if p.reachable(f.now) {
			reachable++
		}
	}
	f.limiter.SetMembers(f.now, reachable, f.instanceCount())
}

// instanceRank returns this instance's rank among the instances that are reachable, not
// leaving and connected to the store; 0 is the first.
func (f *Forwarder) instanceRank() int { return f.instanceRankWithout("") }

// instanceRankWithout returns the rank among all instances but the given one.
func (f *Forwarder) instanceRankWithout(excluded string) int {
	ownScore := balancer.Rendezvous(0, f.settings.Name)
	rank := 0
	for name, p := range f.peers {
		if name != excluded && p.reachable(f.now) && !p.leaving && !p.storeDown && balancer.Rendezvous(0, name) > ownScore {
			rank++
		}
	}
	return rank
}

// broadcastDigest sends the digest to all peers when it is due.
func (f *Forwarder) broadcastDigest() {
	if f.now < f.nextBroadcast {
		return
	}
	f.nextBroadcast = f.now.Add(broadcastInterval)
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		if address := f.peers[name].address; address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return
	}
	f.sequence++
	f.lastBroadcast = f.now
	defer func() { f.cacheDeltas = map[string]cachetracker.Delta{} }()
	message := digest.Digest{
		Name: f.settings.Name, Domain: f.settings.Domain, Address: f.settings.PeerAddress,
		Incarnation: f.incarnation, Sequence: f.sequence, Leaving: f.draining,
		Admitted: f.limiter.Admitted(), Loads: f.ownLoads(), SentParts: f.scheduler.RecentlySent(f.now),
		CacheDeltas:        f.cacheDeltas,
		UnreachableServers: f.unreachableServers(), LoadingEngines: f.rollout.LoadingEngines(),
		Lease: f.rollout.Observation(), HoldsLease: f.rollout.HoldsLease(f.now),
		StoreDown: f.storeDown, RelayRequest: f.rollout.RelayRequest(f.now),
	}
	if f.broadcastFull || f.sequence%fullBroadcastEvery == 0 {
		f.broadcastFull = false
		message.BucketLevels, message.ReportedWeights = f.limiter.Levels(f.now), f.reportedWeights
		message.WeightsAges, message.CrashedServers = f.rollout.VersionAges(f.now), f.crashedServers
	}
	f.emit(SendDigest{Addresses: addresses, Digest: message})
}

// ownLoads returns the load that this instance has assigned, by server.
func (f *Forwarder) ownLoads() map[string][3]int64 {
	loads := map[string][3]int64{}
	for server, load := range f.scheduler.OwnLoads() {
		loads[server] = [3]int64{int64(load.Requests), load.PrefillTokens, load.MemoryTokens}
	}
	return loads
}

// expediteBroadcast brings the next digest forward after a long prompt was sent.
func (f *Forwarder) expediteBroadcast(uncachedTokens int64) {
	if uncachedTokens >= longPromptTokens {
		f.nextBroadcast = min(f.nextBroadcast, f.lastBroadcast.Add(promptBroadcastInterval))
	}
}

// broadcastNow sends a digest with all fields in this step.
func (f *Forwarder) broadcastNow() { f.nextBroadcast, f.broadcastFull = 0, true }

// unreachableServers returns the servers that this instance can't reach.
func (f *Forwarder) unreachableServers() []string {
	var unreachable []string
	for _, server := range f.servers.All() {
		if server.Down() {
			unreachable = append(unreachable, server.ID)
		}
	}
	return unreachable
}

// applyUnreachable marks servers as unreachable that a peer of the same failure domain,
// which uses the same network paths, can't reach. A health check follows.
func (f *Forwarder) applyUnreachable(message digest.Digest) {
	if message.Domain != f.settings.Domain {
		return
	}
	for _, id := range message.UnreachableServers {
		if server, ok := f.servers.Server(id); ok && !server.Down() && f.servers.MarkReportedUnreachable(f.now, id) {
			f.checkHealth(id)
		}
	}
}

// handleDigest merges a digest, unless it is this instance's own or not newer than the
// peer's last one.
func (f *Forwarder) handleDigest(message digest.Digest) {
	known, seen := f.peers[message.Name]
	if message.Name == f.settings.Name || (seen && known.incarnation == message.Incarnation && message.Sequence <= known.sequence) {
		return
	}
	known.address, known.domain = message.Address, message.Domain
	known.incarnation, known.sequence = message.Incarnation, message.Sequence
	known.storeDown = message.StoreDown
	known.leaving, known.lastSeen, known.loadingEngines = message.Leaving, f.now, message.LoadingEngines
	f.peers[message.Name] = known
	f.limiter.ReceivePeer(f.now, message.Name, message.Incarnation, message.Admitted, message.BucketLevels)
	loads := make(map[string]scheduler.Load, len(message.Loads))
	for server, load := range message.Loads {
		loads[server] = scheduler.Load{Requests: int(load[0]), PrefillTokens: load[1], MemoryTokens: load[2]}
	}
	f.scheduler.ReceiveLoads(f.now, message.Name, loads)
	f.applyUnreachable(message)
	f.scheduler.ReceiveSent(f.now, message.SentParts)
	f.applyPeerCacheReads(message.CacheDeltas)
	for model, ages := range message.WeightsAges {
		for version, age := range ages {
			f.rollout.AddVersion(model, version, f.now.Add(-age), true)
		}
	}
	f.rollout.HandlePeerState(f.now, message.Lease, message.HoldsLease)
	if !f.storeDown && f.instanceRankWithout(message.Name) == 0 {
		f.emitRolloutSteps(f.rollout.Relay(message.RelayRequest))
	}
	for id, models := range message.ReportedWeights {
		for model, version := range models {
			if server, ok := f.servers.Server(id); ok && server.Entry.WeightVersions[model] < version {
				f.servers.SetWeightVersion(id, model, version)
			}
		}
	}
	for fingerprint, servers := range message.CrashedServers {
		for _, server := range servers {
			f.recordCrash(fingerprint, server)
		}
	}
}
