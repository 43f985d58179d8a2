package forwarder

import (
	"maps"
	"slices"
	"strconv"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/outbox"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/relayer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// sentPart is a prompt part that was sent to a server, with its tokens.
type sentPart struct {
	server uint32
	part   [2]uint64
}

// receivedOrders is the state of another instance that orders engines.
type receivedOrders struct {
	orders digest.Orders
	origin relayer.Origin
	// renewedAt is the time at which its count last grew.
	renewedAt clock.Millis
}

// handleDigest merges a digest of a neighbor, unless it is not newer than the last one.
func (f *Forwarder) handleDigest(message digest.Digest) {
	if message.Name == f.settings.Name {
		return
	}
	known, seen := f.neighbors[message.Name]
	if seen && known.incarnation == message.Incarnation && message.Sequence <= known.sequence {
		return
	}
	if slices.Contains(known.earlier, message.Incarnation) {
		// The datagram is late: the sender has started anew since.
		return
	}
	received, ok := f.roleOf(message)
	if !ok {
		return
	}
	wasReachable := seen && known.role == received && known.reachable(f.now)
	n := neighbor{
		address: message.Address, domain: message.Domain, incarnation: message.Incarnation, sequence: message.Sequence, role: received, lastSeen: f.now,
		leaving: message.Leaving, storeDown: message.StoreDown, members: message.Members, memberIDs: message.MemberIDs, earlier: known.earlier,
		assigned: assignedStreams{revision: message.AssignedRevision, left: message.AssignedLeft, exceptions: message.AssignedExceptions},
	}
	if seen && known.incarnation != message.Incarnation {
		n.earlier = append(slices.Clone(known.earlier[max(0, len(known.earlier)-maxEarlier+1):]), known.incarnation)
	}
	if received != upstream {
		f.neighbors[message.Name] = n
		f.mergeSums(message, f.serverLoads(message.Loads), f.teamCounts(message.Admitted))
		f.mergeExposures(message, nil, true)
	} else {
		f.mergeUpstream(message, n)
	}
	f.seePeerEra(message.StoreEra, message.StoreEraAge, message.Name)
	f.recordAlive(append(slices.Clone(message.MemberIDs), digest.ID(message.Name)))
	f.mergeNotices(message, originOf(received))
	f.mergeReplicas(message)
	f.mergeAssignments(message)
	if !wasReachable {
		// What seldom changes is new to an instance that has just started.
		f.broadcastFull = true
	}
	if received == below && !wasReachable {
		f.sendAll(message)
	}
}

// originOf returns the origin of what a neighbor in the role sends.
func originOf(received role) relayer.Origin {
	if received == below {
		return relayer.Below
	}
	return relayer.Elsewhere
}

// roleOf returns the role of the sender of a digest. It reports false if the digest is of
// no use: the sender is not a possible upstream, there are too many neighbors, or the
// lists of both instances differ. A probe is answered at once.
func (f *Forwarder) roleOf(message digest.Digest) (role, bool) {
	known, seen := f.neighbors[message.Name]
	switch {
	case message.Scope == digest.All:
		_, echoed := f.sent.Find(f.now, message.Echo)
		return upstream, echoed && !f.arrangement.IsTop() && !message.Leaving && f.acceptUpstream(message.Name)
	case message.Probe:
		if !f.draining && f.countIn(below) < maxBelow && message.Name != f.upstream {
			f.sendAll(message)
		}
		return 0, false
	case message.Top:
		return top, (seen && known.role == top) || f.countIn(top) < maxTops
	case message.Name == f.upstream:
		return 0, false
	default:
		return below, (seen && known.role == below) || f.countIn(below) < maxBelow
	}
}

// sendAll sends the sender of a digest the digest about all instances.
func (f *Forwarder) sendAll(message digest.Digest) {
	echo := digest.Echo{Incarnation: message.Incarnation, Sequence: message.Sequence}
	sums := f.subtreeSums(f.neighborsIn(below))
	f.emit(SendDigest{Digest: f.allDigest(f.sent.Add(sums), true, true), Recipients: []Recipient{{Address: message.Address, Echo: echo}}})
}

// mergeSums records the sums over another subtree.
func (f *Forwarder) mergeSums(message digest.Digest, loads map[string]scheduler.Load, admitted map[string]int64) {
	if message.WithLoads {
		f.scheduler.ReceiveLoads(f.now, message.Name, loads)
	}
	counts := f.admittedElsewhere
	if f.neighbors[message.Name].role == below {
		counts = f.admittedBelow
	}
	incarnation := strconv.FormatUint(uint64(message.Incarnation), 16)
	for team, tokens := range f.limiter.ReceivePeer(f.now, message.Name, incarnation, admitted, f.teamCounts(message.BucketLevels)) {
		counts[team] += tokens
	}
}

// mergeUpstream records the sums of the upstream without this instance's own share of them.
func (f *Forwarder) mergeUpstream(message digest.Digest, n neighbor) {
	own, _ := f.sent.Find(f.now, message.Echo)
	counted := own.Members
	if message.Echo.Sequence < f.upstreamSince {
		// The upstream has not counted this instance yet.
		own, counted = outbox.Sums{SentAt: own.SentAt}, 0
	}
	n.members = max(0, message.Members-counted)
	f.neighbors[message.Name] = n
	loads := f.serverLoads(message.Loads)
	for server, load := range own.Loads {
		loads[server] = loads[server].Minus(load)
	}
	admitted := f.teamCounts(message.Admitted)
	for team, tokens := range own.Admitted {
		admitted[team] -= tokens
	}
	f.mergeSums(message, loads, admitted)
	f.mergeExposures(message, own.Exposures, counted > 0)
}

// serverLoads returns the loads of the servers that this instance knows.
func (f *Forwarder) serverLoads(byID map[uint32][3]int64) map[string]scheduler.Load {
	loads := make(map[string]scheduler.Load, len(byID))
	for id, load := range byID {
		if server, ok := f.serverNames[id]; ok {
			loads[server] = scheduler.Load{Requests: int(load[0]), PrefillTokens: load[1], MemoryTokens: load[2]}
		}
	}
	return loads
}

// teamCounts returns the values of the teams that this instance knows.
func (f *Forwarder) teamCounts(byID map[uint32]int64) map[string]int64 {
	counts := make(map[string]int64, len(byID))
	for id, value := range byID {
		if team, ok := f.teamNames[id]; ok {
			counts[team] = value
		}
	}
	return counts
}

// mergeNotices applies what the digest repeats, and keeps what is new for the neighbors.
func (f *Forwarder) mergeNotices(message digest.Digest, origin relayer.Origin) {
	if message.Domain == f.settings.Domain {
		f.mergeReachability(message, origin)
	}
	f.mergeSentParts(message, origin)
	for _, change := range message.CacheDeltas {
		server, ok := f.serverNames[change.Server]
		if ok && f.applyPeerCacheRead(server, change.Delta) && !f.arrangement.Flat() {
			f.addCacheDelta(change, origin)
		}
	}
	f.mergeWeightsAges(message)
	f.mergeOrders(message, origin)
	for _, reported := range message.ReportedWeights {
		server, ok := f.servers.Server(reported.Server)
		if ok && server.Entry.WeightVersions[reported.Model] < reported.Version {
			f.servers.SetWeightVersion(reported.Server, reported.Model, reported.Version)
		}
		f.weightsNotices.Add(f.now, reported, origin)
	}
	f.mergeAccusedParts(message.AccusedParts)
	f.mergeLimits(message.ServerLimits)
	f.mergeRooms(message.ServerRooms)
	for _, leaving := range message.LeavingServers {
		f.markLeaving(leaving, origin)
	}
	for fingerprint, servers := range message.CrashedServers {
		for _, server := range servers {
			f.recordRequestCrash(fingerprint, server)
		}
	}
}

// mergeReachability applies the notices about servers of instances in the same failure
// domain, which use the same network paths.
func (f *Forwarder) mergeReachability(message digest.Digest, origin relayer.Origin) {
	for _, id := range message.UnreachableServers {
		if !f.unreachableNotices.Add(f.now, id, origin) {
			continue
		}
		spread := float64(f.jitter(jitterSteps)) / jitterSteps
		if f.servers.MarkReportedUnreachable(f.now, id, spread) {
			f.doubtStart(id)
			f.log(eventlog.New(eventlog.ServerSuspected, "").With("server", id).With("gone", false).With("from", message.Name))
		}
	}
	for _, id := range message.RecoveredServers {
		if f.recoveredNotices.Add(f.now, id, origin) && f.servers.MarkReportedRecovered(f.now, id) {
			f.logRecovered(id, message.Name)
		}
	}
}

// jitterSteps is the resolution of a random fraction.
const jitterSteps = 1000

func (f *Forwarder) mergeSentParts(message digest.Digest, origin relayer.Origin) {
	sent := make(map[string][][2]uint64, len(message.SentParts))
	for _, id := range slices.Sorted(maps.Keys(message.SentParts)) {
		server, ok := f.serverNames[id]
		if _, known := f.servers.Server(server); !ok || (!known && server != scheduler.StoreID) {
			continue
		}
		for _, part := range message.SentParts[id] {
			if f.arrangement.Flat() || f.sentNotices.Add(f.now, sentPart{server: id, part: part}, origin) {
				sent[server] = append(sent[server], part)
			}
		}
	}
	f.scheduler.ReceiveSent(f.now, sent)
}

// mergeOrders records which instances order engines to load weights.
func (f *Forwarder) mergeOrders(message digest.Digest, origin relayer.Origin) {
	f.rollout.HandlePeerState(f.now, message.Lease, false)
	for _, orders := range message.Orders {
		known, seen := f.orders[orders.Holder]
		if orders.Holder == f.settings.Name || (seen && orders.Count <= known.orders.Count && f.now.Since(known.renewedAt) < ordersTimeout) {
			continue
		}
		changed := !slices.Equal(orders.LoadingEngines, known.orders.LoadingEngines) || orders.RelayRequest != known.orders.RelayRequest
		f.orders[orders.Holder] = receivedOrders{orders: orders, origin: origin, renewedAt: f.now}
		f.rollout.HandlePeerState(f.now, message.Lease, orders.HoldsLease)
		if !f.storeDown && f.instanceRankWithout(orders.Holder) == 0 {
			f.emitRolloutSteps(f.rollout.Relay(orders.RelayRequest))
		}
		if changed && !f.arrangement.Flat() {
			f.expediteRelay()
		}
	}
	maps.DeleteFunc(f.orders, func(_ string, received receivedOrders) bool {
		return f.now.Since(received.renewedAt) > 2*ordersTimeout
	})
}

// expediteRelay brings the next digest forward to pass on a change.
func (f *Forwarder) expediteRelay() {
	f.nextBroadcast = min(f.nextBroadcast, f.lastBroadcast.Add(promptBroadcastInterval))
}
