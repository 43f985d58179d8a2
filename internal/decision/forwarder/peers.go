package forwarder

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/organizer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tokenbucket"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// peerRemovalTimeout is the time without a sign of life after which a listed peer may be
// removed from the store.
const peerRemovalTimeout = 15 * clock.Second

// Member is an instance as it is listed in the store.
type Member struct {
	Address string
	Domain  string
	// Capacity is the processor time that the instance may use, in thousandths of a core.
	Capacity int64
}

// peer is another instance that is listed.
type peer struct {
	Member
	name string
	// lastAlive is the time at which a digest last showed that the peer is reachable.
	lastAlive clock.Millis
}

// alive reports whether the peer was reachable within the peer timeout of two levels.
func (p peer) alive(now clock.Millis) bool {
	return p.lastAlive > 0 && now.Since(p.lastAlive) < 2*tokenbucket.PeerTimeout
}

func (f *Forwarder) handlePeersListed(listed PeersListed) {
	f.havePeers = true
	f.ownEntry = Member{}
	peers := make(map[uint32]peer, len(listed.Members))
	members := make([]organizer.Member, 0, len(listed.Members))
	for name, member := range listed.Members {
		members = append(members, organizer.Member{Name: name, Domain: member.Domain, Capacity: member.Capacity})
		if name == f.settings.Name {
			f.ownEntry = member
			continue
		}
		id := digest.ID(name)
		peers[id] = peer{Member: member, name: name, lastAlive: f.peers[id].lastAlive}
	}
	for id := range f.peers {
		if _, listed := peers[id]; !listed {
			f.memberRemovedAt = f.now
		}
	}
	f.peers = peers
	f.keepers = nil
	f.arrangement = organizer.Arrange(f.settings.Name, members)
	f.servers.SetInstances(f.instanceCount())
}

// OwnEntry returns this instance's own entry in the store, empty if there is none. It
// reports false before there is a copy of the entries.
func (f *Forwarder) OwnEntry() (Member, bool) {
	return f.ownEntry, f.replicas != nil && f.replicas.Copy(replicator.Members).ConfirmedAt > 0
}

// recordAlive records that the instances with the identifiers are reachable.
func (f *Forwarder) recordAlive(ids []uint32) {
	for _, id := range ids {
		if known, ok := f.peers[id]; ok {
			known.lastAlive = f.now
			f.peers[id] = known
		}
	}
}

// UnresponsivePeers returns the listed peers whose entries can be removed from the store,
// because they have shown no sign of life for too long: those of this instance's failure
// domain, if it is the first instance there that is reachable, and those of domains
// without a reachable instance, if it is the first of all. It returns none if fewer
// instances are reachable than unresponsive.
func (f *Forwarder) UnresponsivePeers() []string {
	if f.now.Since(f.awakeSince()) <= peerRemovalTimeout || !f.isFirstAlive(f.arrangement.Domain(f.settings.Domain)) {
		return nil
	}
	aliveDomains := map[string]bool{f.settings.Domain: true}
	for _, p := range f.peers {
		aliveDomains[p.Domain] = aliveDomains[p.Domain] || p.alive(f.now)
	}
	var unresponsive []string
	for _, p := range f.peers {
		responsible := p.Domain == f.settings.Domain || (!aliveDomains[p.Domain] && f.isFirstAlive(f.arrangement.Tops()))
		if responsible && f.now.Since(p.lastAlive) > peerRemovalTimeout {
			unresponsive = append(unresponsive, p.name)
		}
	}
	if f.reachableCount() < len(unresponsive) {
		return nil
	}
	slices.Sort(unresponsive)
	return unresponsive
}

// isFirstAlive reports whether this instance is the first of the names that is reachable.
func (f *Forwarder) isFirstAlive(names []string) bool {
	for _, name := range names {
		if name == f.settings.Name {
			return true
		}
		if f.peers[digest.ID(name)].alive(f.now) {
			return false
		}
	}
	return false
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
	reachable := f.reachableCount()
	f.limiter.SetMembers(f.now, reachable, f.instanceCount())
	f.scheduler.SetInstances(reachable)
}

// instanceRank returns this instance's rank among the instances that are reachable, not
// leaving and connected to the store; 0 is the first. Instances at the top level come
// first.
func (f *Forwarder) instanceRank() int { return f.instanceRankWithout("") }

// lowerRanks is the number of ranks that the instances below the top level share.
const lowerRanks = 10

// instanceRankWithout returns the rank among all instances but the given one.
func (f *Forwarder) instanceRankWithout(excluded string) int {
	ownRank := f.arrangement.Rank(f.settings.Name)
	if !f.actsAsTop() {
		return len(f.arrangement.Tops()) + ownRank%lowerRanks
	}
	rank := 0
	for name, n := range f.neighbors {
		if name != excluded && n.role == top && n.reachable(f.now) && !n.leaving && !n.storeDown && f.arrangement.Rank(name) < ownRank {
			rank++
		}
	}
	return rank
}
