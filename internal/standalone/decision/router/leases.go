package router

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/leaser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// leaseRankKey makes the ranks for leases independent of those for other roles.
const leaseRankKey uint64 = 0x7269676874730000

// leaseWatchers is the number of instances per domain that watch a lease.
const leaseWatchers = 2

// quotaShardKey identifies one shard of one domain's quota.
type quotaShardKey struct {
	domain string
	shard  int32
}

func leaseName(domain string, shard int) string {
	return fmt.Sprintf("leases/rights/%s/%d", domain, shard)
}

// leaseIdentity returns the identity under which the instance holds leases. It
// starts with name and address: only one process at a time can listen there, so a
// process that starts there knows that its predecessor has ended.
func leaseIdentity(settings Settings) string {
	return tracker.Identity(settings.Name+"@"+settings.Address, settings.Incarnation)
}

// advanceLease takes the next step of the shard's lease: a read or a write of its
// object, or a timer. Timers that were set before become invalid.
func (r *Router) advanceLease(shard int) {
	r.leaseGenerations[shard]++
	lease := r.leases[shard]
	rank := r.rank(leaseRankKey + uint64(shard))
	eligible := r.ready() && (!r.draining || r.keepsLeases())
	lease = lease.WithWatched(eligible && rank < leaseWatchers)
	lease = lease.WithWanted(eligible && (r.limiter.HasShard(shard) || (!r.draining && rank == 0 && !r.recentlyClaimed(shard))))
	r.stopGrantingIfExpired(shard)
	switch step := lease.Next(r.now).(type) {
	case leaser.Read:
		lease = lease.WithPendingCall()
		r.callPlatform(leaseReadCall{shard: shard}, objectstore.Get{Name: lease.Name()})
	case leaser.Write:
		lease = lease.WithPendingCall()
		r.writeLease(shard, step)
	case leaser.Wait:
		r.scheduleAt(step.Until, leaseTimer{shard: shard, generation: r.leaseGenerations[shard]})
	}
	r.leases[shard] = lease
}

// handleLeaseTimer advances the lease unless the timer has become invalid.
func (r *Router) handleLeaseTimer(timer leaseTimer) {
	if timer.generation == r.leaseGenerations[timer.shard] {
		r.advanceLease(timer.shard)
	}
}

// advanceLeases takes the next step of every lease.
func (r *Router) advanceLeases() {
	for shard := range r.leases {
		r.advanceLease(shard)
	}
}

func (r *Router) writeLease(shard int, step leaser.Write) {
	if step.Record.Holder == "" {
		r.stopGranting(shard)
	}
	op := objectstore.Put{Name: r.leases[shard].Name(), Value: step.Record.Encode(), IfVersion: step.IfVersion}
	r.callPlatform(leaseWriteCall{shard: shard, requestedAt: r.now, write: step}, op)
}

func (r *Router) handleLeaseRead(shard int, response objectstore.Response) {
	r.leases[shard] = r.leases[shard].WithRead(r.now, response)
	r.recordLeaseHolder(shard)
	r.advanceLease(shard)
}

func (r *Router) handleLeaseWritten(call leaseWriteCall, response objectstore.Response) {
	shard := call.shard
	r.leases[shard] = r.leases[shard].WithWritten(call.requestedAt, r.now, call.write, response)
	if r.leases[shard].Held(r.now) {
		r.paused = false
	}
	if r.leases[shard].Held(r.now) && !r.limiter.HasShard(shard) && !r.draining {
		r.startGranting(shard, call.write.IfVersion == objectstore.IfAbsent)
	}
	r.recordLeaseHolder(shard)
	r.advanceLease(shard)
}

func (r *Router) startGranting(shard int, leaseCreated bool) {
	level := limiter.InitiallyEmpty
	if leaseCreated {
		level = limiter.InitiallyFull
	}
	r.limiter.AddShard(r.now, shard, level)
	r.heldTerms[shard] = r.leases[shard].Term()
	r.divisionsLoaded[shard] = false
	r.loadDivisions(shard, "")
	r.log(eventlog.New(eventlog.LeaseTaken, "").With("lease", r.leases[shard].Name()).With("term", r.heldTerms[shard]))
}

// stopGrantingIfExpired stops granting tokens of a shard whose lease has expired,
// unless an outage of the platform keeps others from acquiring the lease.
func (r *Router) stopGrantingIfExpired(shard int) {
	if r.limiter.HasShard(shard) && !r.leases[shard].Held(r.now) && !r.inOutage() {
		r.stopGranting(shard)
	}
}

func (r *Router) stopGranting(shard int) {
	if !r.limiter.HasShard(shard) {
		return
	}
	r.limiter.RemoveShard(shard)
	r.log(eventlog.New(eventlog.LeaseLost, "").With("lease", r.leases[shard].Name()).With("term", r.heldTerms[shard]))
}

// recordLeaseHolder records the holder that the lease object names, if it is a peer.
func (r *Router) recordLeaseHolder(shard int) {
	lease := r.leases[shard]
	name, _, _ := strings.Cut(lease.Holder(), "@")
	if name == "" || name == r.settings.Name {
		return
	}
	r.recordHolder(r.settings.Domain, &peerv1.Holding{Shard: int32(shard), Instance: name, Term: lease.Term()})
}

// recordHolders records the holders from a peer's heartbeat. A holder without a
// domain is in the peer's domain.
func (r *Router) recordHolders(from tracker.Peer, holders []*peerv1.Holding) {
	for _, holder := range holders {
		if holder.GetShard() < 0 || holder.GetShard() >= limiter.ShardCount {
			continue
		}
		domain := from.Domain
		if holder.GetDomain() != "" {
			domain = holder.GetDomain()
		}
		r.recordHolder(domain, holder)
		if domain == r.settings.Domain && holder.GetInstance() == from.Name {
			r.recordClaim(int(holder.GetShard()), from.Name)
		}
	}
}

func (r *Router) recordHolder(domain string, holder *peerv1.Holding) {
	key := quotaShardKey{domain: domain, shard: holder.GetShard()}
	last, ok := r.holders[key]
	if !ok && len(r.holders) >= maxHolders {
		return
	}
	if holder.GetTerm() >= last.GetTerm() {
		r.holders[key] = holder
	}
}

// sortedHolderKeys returns the keys of the known holders, sorted.
func (r *Router) sortedHolderKeys() []quotaShardKey {
	return slices.SortedFunc(maps.Keys(r.holders), func(a, b quotaShardKey) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.shard, b.shard))
	})
}

// heldQuotaShards returns the quota shards whose tokens this instance may grant.
func (r *Router) heldQuotaShards() []*peerv1.Holding {
	var holders []*peerv1.Holding
	for shard := range int32(limiter.ShardCount) {
		if r.canGrant(int(shard)) {
			holders = append(holders, &peerv1.Holding{Shard: shard, Instance: r.settings.Name, Term: r.heldTerms[shard]})
		}
	}
	return holders
}

// domainHolders returns the known holders of the local domain's shards.
func (r *Router) domainHolders() []*peerv1.Holding {
	holders := r.heldQuotaShards()
	for shard := range int32(limiter.ShardCount) {
		if r.canGrant(int(shard)) {
			continue
		}
		if holder, ok := r.holders[quotaShardKey{domain: r.settings.Domain, shard: shard}]; ok {
			holders = append(holders, holder)
		}
	}
	return holders
}

// canGrant reports whether this instance may grant tokens of the shard now: it
// holds the shard and has loaded its divisions.
func (r *Router) canGrant(shard int) bool {
	r.stopGrantingIfExpired(shard)
	return r.limiter.HasShard(shard) && r.divisionsLoaded[shard]
}

// holderOf returns the peer that holds the domain's shard, if it is known.
func (r *Router) holderOf(domain string, shard int) (tracker.Peer, bool) {
	holder, ok := r.holders[quotaShardKey{domain: domain, shard: int32(shard)}]
	if !ok {
		return tracker.Peer{}, false
	}
	return r.view.Peer(holder.GetInstance())
}
