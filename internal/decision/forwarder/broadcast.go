package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/outbox"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/relayer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// broadcastInterval is the time between two digests: short compared with the target
	// time of a response and with the refill time of a burst.
	broadcastInterval = 200 * clock.Millisecond
	// relayedInterval is the same in a cluster in which instances pass on the states of
	// others, and loadsEvery the number of digests of which one contains the loads there.
	relayedInterval = 250 * clock.Millisecond
	loadsEvery      = 2
	// intervalPerNeighbor limits the digests sent to all neighbors together to 43 a
	// second.
	intervalPerNeighbor = 23 * clock.Millisecond
	// promptBroadcastInterval is the shortest time between two digests after a long
	// prompt was sent: peers must not select the same engine meanwhile.
	promptBroadcastInterval = 40 * clock.Millisecond
	// longPromptTokens is the number of uncached tokens from which a prompt counts as
	// long: their prefill takes a tenth of a usual target time.
	longPromptTokens = 1500
	// Every fullBroadcastEvery-th digest includes the fields that seldom change.
	fullBroadcastEvery = 4
	// deltaRepeats is the number of digests that repeat a change of a cache where it is
	// passed on: there, a lost one would be missing at many instances.
	deltaRepeats = 2
	// maxDeltas limits the changes of caches to be sent.
	maxDeltas = 512
	// ordersTimeout is the age from which another instance's orders are out of date.
	ordersTimeout = clock.Second
)

// cacheDelta is a change of a server's cache to be sent to neighbors.
type cacheDelta struct {
	change digest.CacheDelta
	origin relayer.Origin
	// repeats is the number of digests that have contained it.
	repeats int
}

// Recipient is a neighbor to which a digest is sent, with the echo for it.
type Recipient struct {
	Address string
	Echo    digest.Echo
}

// broadcast sends digests to the neighbors when they are due: one about this instance's
// subtree to those at the top level or to the upstream, and one about all to those below.
func (f *Forwarder) broadcast() {
	if f.now < f.nextBroadcast {
		return
	}
	f.updateUpstream()
	f.forgetNeighbors()
	belowNames := f.neighborsIn(below)
	subtree, probes := f.subtreeRecipients()
	neighborCount := len(belowNames) + len(subtree)
	f.nextBroadcast = f.now.Add(f.interval(neighborCount))
	if neighborCount+len(probes) == 0 {
		return
	}
	full := f.broadcastFull || (f.sent.Sequence()+1)%fullBroadcastEvery == 0
	f.broadcastFull = false
	f.lastBroadcast = f.now
	f.broadcasts++
	withLoads := f.arrangement.Flat() || f.broadcasts%loadsEvery == 0
	sums := f.subtreeSums(belowNames)
	sequence := f.sent.Add(sums)
	message := f.newDigest(sequence, full)
	message.Scope, message.Members, message.MemberIDs = digest.Subtree, sums.Members, f.subtreeIDs(belowNames)
	assigned := f.subtreeAssigned()
	message.AssignedRevision, message.AssignedLeft, message.AssignedExceptions = assigned.revision, assigned.left, assigned.exceptions
	f.fillSums(&message, sums.Admitted, sums.Loads, withLoads)
	message.Exposures = f.exposuresOf(sums.Exposures)
	f.fillNotices(&message, relayer.Below)
	if len(subtree) > 0 {
		f.emit(SendDigest{Digest: message, Recipients: subtree})
	}
	if len(probes) > 0 {
		f.emit(SendDigest{Digest: f.newProbe(sequence), Recipients: probes})
	}
	if len(belowNames) > 0 {
		var recipients []Recipient
		for _, name := range belowNames {
			recipients = append(recipients, Recipient{Address: f.neighbors[name].address, Echo: f.neighbors[name].echo()})
		}
		f.emit(SendDigest{Digest: f.allDigest(sequence, full, withLoads), Recipients: recipients})
	}
	f.countDeltaRepeats()
}

// interval returns the time between two digests to the number of neighbors.
func (f *Forwarder) interval(neighborCount int) clock.Millis {
	interval := relayedInterval
	if f.arrangement.Flat() {
		interval = broadcastInterval
	}
	return max(interval, intervalPerNeighbor*clock.Millis(neighborCount))
}

// subtreeRecipients returns the recipients of the digest about the subtree, and those of
// the probe.
func (f *Forwarder) subtreeRecipients() (subtree, probes []Recipient) {
	if f.actsAsTop() {
		names := map[string]string{}
		for _, name := range f.arrangement.Tops() {
			if name != f.settings.Name {
				names[name] = f.peers[digest.ID(name)].Address
			}
		}
		for _, name := range f.neighborsIn(top) {
			names[name] = f.neighbors[name].address
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if names[name] != "" {
				subtree = append(subtree, Recipient{Address: names[name], Echo: f.neighbors[name].echo()})
			}
		}
	} else if n, ok := f.neighbors[f.upstream]; ok {
		subtree = append(subtree, Recipient{Address: n.address, Echo: n.echo()})
	}
	for _, name := range f.upstreamsToProbe() {
		if address := f.peers[digest.ID(name)].Address; address != "" {
			probes = append(probes, Recipient{Address: address, Echo: f.neighbors[name].echo()})
		}
	}
	return subtree, probes
}

// newDigest returns a digest with the fields that do not depend on its scope.
func (f *Forwarder) newDigest(sequence uint64, full bool) digest.Digest {
	message := digest.Digest{
		Name: f.settings.Name, Domain: f.settings.Domain, Address: f.settings.PeerAddress,
		Incarnation: digest.ID(f.incarnation), Sequence: sequence, Leaving: f.draining, StoreDown: f.storeDown, StoreEra: f.eras.Era(), StoreEraAge: f.eras.Age(f.now), Top: f.actsAsTop(),
		Lease: f.rollout.Observation(), Replicas: f.replicaOffers(), Outage: f.outage(), Assignments: f.newAssignments(),
	}
	message.AccusedParts, message.ServerLimits, message.ServerRooms = f.parts.Changes(f.now), f.limits.Changes(f.now), f.rooms.Changes(f.now)
	if full {
		message.AccusedParts, message.ServerLimits, message.ServerRooms = f.parts.Snapshot(f.now), f.limits.Snapshot(), f.rooms.Snapshot()
		message.BucketLevels = f.idsOfTeams(f.limiter.Levels(f.now))
		message.CrashedServers = f.crashedServers
	}
	f.fillWeightsAges(&message, full)
	return message
}

// newProbe returns the digest that asks whether the receiver can be the upstream.
func (f *Forwarder) newProbe(sequence uint64) digest.Digest {
	probe := digest.Digest{
		Name: f.settings.Name, Domain: f.settings.Domain, Address: f.settings.PeerAddress, Scope: digest.Subtree, Probe: true,
		Incarnation: digest.ID(f.incarnation), Sequence: sequence, Leaving: f.draining, StoreDown: f.storeDown, Members: 1,
	}
	return probe
}

// allDigest returns the digest about all instances that this one knows of.
func (f *Forwarder) allDigest(sequence uint64, full, withLoads bool) digest.Digest {
	message := f.newDigest(sequence, full)
	message.Scope, message.Members = digest.All, f.reachableCount()
	message.MemberIDs = f.subtreeIDs(f.neighborsIn(below))
	for _, name := range slices.Concat(f.neighborsIn(top), f.neighborsIn(upstream)) {
		if f.neighbors[name].domain == f.settings.Domain {
			message.MemberIDs = append(message.MemberIDs, f.neighbors[name].memberIDs...)
		}
	}
	slices.Sort(message.MemberIDs)
	message.MemberIDs = slices.Compact(message.MemberIDs)
	f.fillSums(&message, f.allAdmitted(), f.scheduler.PlacedLoads(f.now, slices.Collect(maps.Keys(f.neighbors))), withLoads)
	message.Exposures = f.exposuresOf(f.allExposures())
	f.fillNotices(&message, relayer.Elsewhere)
	return message
}

// subtreeSums returns the sums over this instance and those below it.
func (f *Forwarder) subtreeSums(belowNames []string) outbox.Sums {
	sums := outbox.Sums{SentAt: f.now, Members: f.subtreeCount(), Admitted: f.limiter.Admitted(), Loads: f.scheduler.PlacedLoads(f.now, belowNames), Exposures: f.subtreeExposures()}
	for team, tokens := range f.admittedBelow {
		sums.Admitted[team] += tokens
	}
	return sums
}

// allAdmitted returns the tokens that all instances have admitted, as far as this instance
// has learned of them since its start.
func (f *Forwarder) allAdmitted() map[string]int64 {
	admitted := f.limiter.Admitted()
	for _, counts := range []map[string]int64{f.admittedBelow, f.admittedElsewhere} {
		for team, tokens := range counts {
			admitted[team] += tokens
		}
	}
	return admitted
}

// subtreeIDs returns the identifiers of the instances in the subtree.
func (f *Forwarder) subtreeIDs(belowNames []string) []uint32 {
	ids := []uint32{digest.ID(f.settings.Name)}
	for _, name := range belowNames {
		ids = append(ids, f.neighbors[name].memberIDs...)
	}
	return ids
}

func (f *Forwarder) fillSums(message *digest.Digest, admitted map[string]int64, loads map[string]scheduler.Load, withLoads bool) {
	message.Admitted = f.idsOfTeams(admitted)
	if message.WithLoads = withLoads; !withLoads {
		return
	}
	message.Loads = make(map[uint32][3]int64, len(loads))
	for server, load := range loads {
		if load != (scheduler.Load{}) {
			message.Loads[f.digestID(server)] = [3]int64{int64(load.Requests), load.PrefillTokens, load.MemoryTokens}
		}
	}
}

func (f *Forwarder) idsOfTeams(values map[string]int64) map[uint32]int64 {
	byID := make(map[uint32]int64, len(values))
	for team, value := range values {
		byID[digest.ID(team)] = value
	}
	return byID
}

// fillNotices adds what is repeated in several digests, of the origins up to the given one.
func (f *Forwarder) fillNotices(message *digest.Digest, upTo relayer.Origin) {
	message.UnreachableServers = f.unreachableNotices.Recent(f.now, upTo)
	message.RecoveredServers = f.recoveredNotices.Recent(f.now, upTo)
	message.ReportedWeights = f.weightsNotices.Recent(f.now, upTo)
	message.LeavingServers = f.leavingNotices.Recent(f.now, upTo)
	message.SentParts = map[uint32][][2]uint64{}
	for server, parts := range f.scheduler.RecentlySent(f.now, !f.arrangement.Flat()) {
		message.SentParts[f.digestID(server)] = parts
	}
	for _, sent := range f.sentNotices.Recent(f.now, upTo) {
		message.SentParts[sent.server] = append(message.SentParts[sent.server], sent.part)
	}
	for _, delta := range f.cacheDeltas {
		if delta.origin <= upTo {
			message.CacheDeltas = append(message.CacheDeltas, delta.change)
		}
	}
	message.Orders = f.ordersUpTo(upTo)
}

// ordersUpTo returns the orders of this instance and those received, of the origins up to
// the given one.
func (f *Forwarder) ordersUpTo(upTo relayer.Origin) []digest.Orders {
	var orders []digest.Orders
	if loading := f.rollout.LoadingEngines(); f.rollout.HoldsLease(f.now) || len(loading) > 0 {
		orders = append(orders, digest.Orders{
			Holder: f.settings.Name, Count: int64(f.sent.Sequence()), HoldsLease: f.rollout.HoldsLease(f.now),
			LoadingEngines: loading, RelayRequest: f.rollout.RelayRequest(f.now),
		})
	}
	for _, holder := range slices.Sorted(maps.Keys(f.orders)) {
		if received := f.orders[holder]; received.origin <= upTo && f.now.Since(received.renewedAt) < ordersTimeout {
			orders = append(orders, received.orders)
		}
	}
	return orders
}

// countDeltaRepeats drops the changes of caches that were sent often enough.
func (f *Forwarder) countDeltaRepeats() {
	repeats := deltaRepeats
	if f.arrangement.Flat() {
		repeats = 1
	}
	f.cacheDeltas = slices.DeleteFunc(f.cacheDeltas, func(delta cacheDelta) bool { return delta.repeats+1 >= repeats })
	for i := range f.cacheDeltas {
		f.cacheDeltas[i].repeats++
	}
}

// addCacheDelta adds a change of a cache to be sent.
func (f *Forwarder) addCacheDelta(change digest.CacheDelta, origin relayer.Origin) {
	if len(f.cacheDeltas) < maxDeltas {
		f.cacheDeltas = append(f.cacheDeltas, cacheDelta{change: change, origin: origin})
	}
}

// expediteBroadcast brings the next digest forward after a long prompt was sent.
func (f *Forwarder) expediteBroadcast(uncachedTokens int64) {
	if uncachedTokens >= longPromptTokens {
		f.nextBroadcast = min(f.nextBroadcast, f.lastBroadcast.Add(promptBroadcastInterval))
	}
}

// broadcastNow sends a digest with all fields in this step.
func (f *Forwarder) broadcastNow() { f.nextBroadcast, f.broadcastFull = 0, true }

// replicaOffers returns the states of this instance's copies.
func (f *Forwarder) replicaOffers() []digest.Replica {
	var offers []digest.Replica
	for _, kind := range replicator.Kinds {
		if held := f.replicas.Copy(kind); held.ConfirmedAt > 0 {
			offers = append(offers, digest.Replica{Kind: int(kind), Era: held.Era, Revision: held.Revision, Through: held.Through, Age: f.now.Since(held.ConfirmedAt), Source: held.Source})
		}
	}
	return offers
}

// outage returns the latest outage of the store that this instance knows of.
func (f *Forwarder) outage() digest.Outage {
	if f.storeFailedAt == 0 {
		return digest.Outage{}
	}
	return digest.Outage{Known: true, SinceStart: f.now.Since(f.storeFailedAt), SinceEnd: max(0, f.now.Since(f.storeRecoveredAt)), Ended: !f.storeDown}
}
