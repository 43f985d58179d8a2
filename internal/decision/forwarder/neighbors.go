package forwarder

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tokenbucket"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// orphanTimeout is the time without an upstream after which an instance acts at the
	// top level: several candidates have not responded then.
	orphanTimeout = 1500 * clock.Millisecond
	// upstreamGrace is the time for which the sums of an upstream that has become
	// unreachable are still used: until another one has responded.
	upstreamGrace = 400 * clock.Millisecond
	// upstreamProbes is the number of candidates that an instance without an upstream
	// probes at a time.
	upstreamProbes = 3
	// upgradeInterval is the time between two probes of a better upstream.
	upgradeInterval = 2 * clock.Second
	// maxBelow and maxTops limit the neighbors in each role: several times as many as
	// usual, for the time in which others are unreachable.
	maxBelow = 15
	maxTops  = 40
	// neighborTimeout is the time after which a silent neighbor is forgotten.
	neighborTimeout = 15 * clock.Second
	// maxEarlier limits the earlier incarnations of a neighbor that are kept.
	maxEarlier = 4
)

// role is the position of a neighbor relative to this instance.
type role int

const (
	// top is another instance at the top level.
	top role = iota + 1
	// below is an instance that uses this one as its upstream.
	below
	// upstream is the instance above this one.
	upstream
)

// neighbor is an instance with which digests are exchanged.
type neighbor struct {
	address     string
	domain      string
	incarnation uint32
	sequence    uint64
	// earlier are the incarnations before, whose datagrams are late.
	earlier   []uint32
	role      role
	lastSeen  clock.Millis
	leaving   bool
	storeDown bool
	// members is the number of instances that its sums cover, without those that this
	// instance's own sums cover as well. memberIDs are those of its domain.
	members   int
	memberIDs []uint32
	assigned  assignedStreams
}

// reachable reports whether a digest arrived within the peer timeout.
func (n neighbor) reachable(now clock.Millis) bool {
	return now.Since(n.lastSeen) < tokenbucket.PeerTimeout
}

// echo returns the echo for the neighbor.
func (n neighbor) echo() digest.Echo {
	return digest.Echo{Incarnation: n.incarnation, Sequence: n.sequence}
}

// neighborsIn returns the names of the reachable neighbors in the role, sorted.
func (f *Forwarder) neighborsIn(wanted role) []string {
	var names []string
	for name, n := range f.neighbors {
		if n.role == wanted && n.reachable(f.now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// subtreeCount returns the number of reachable instances in this instance's subtree.
func (f *Forwarder) subtreeCount() int {
	count := 1
	for _, n := range f.neighbors {
		if n.role == below && n.reachable(f.now) {
			count += n.members
		}
	}
	return count
}

// reachableCount returns the number of reachable instances, including this one.
func (f *Forwarder) reachableCount() int {
	count := f.subtreeCount()
	for name, n := range f.neighbors {
		switch {
		case n.role == top && n.reachable(f.now) && f.actsAsTop():
			count += n.members
		case name == f.upstream && n.role == upstream && f.now.Since(n.lastSeen) < tokenbucket.PeerTimeout+upstreamGrace:
			count += n.members
		}
	}
	return min(count, f.instanceCount())
}

// actsAsTop reports whether the instance exchanges digests with the top level: it belongs
// there, or it has found no upstream.
func (f *Forwarder) actsAsTop() bool {
	return f.arrangement.IsTop() || (f.upstream == "" && f.now.Since(max(f.startedAt, f.lastUpstreamAt)) > orphanTimeout)
}

// updateUpstream drops an upstream that is unreachable or leaving, and one that this
// instance does not need any more.
func (f *Forwarder) updateUpstream() {
	if f.upstream == "" {
		return
	}
	n := f.neighbors[f.upstream]
	lost := f.now.Since(n.lastSeen) >= tokenbucket.PeerTimeout+upstreamGrace
	if !lost && !n.leaving && !f.arrangement.IsTop() {
		f.lastUpstreamAt = f.now
		return
	}
	f.scheduler.ForgetLoads(f.upstream)
	delete(f.neighbors, f.upstream)
	f.upstream = ""
}

// acceptUpstream makes the sender of a digest the upstream if it is a better candidate
// than the current one.
func (f *Forwarder) acceptUpstream(name string) bool {
	if f.upstream == name {
		return true
	}
	candidates := f.arrangement.Upstreams()
	index := slices.Index(candidates, name)
	if index < 0 {
		return false
	}
	current, hasCurrent := f.neighbors[f.upstream]
	if hasCurrent && current.reachable(f.now) && slices.Index(candidates, f.upstream) < index {
		return false
	}
	f.scheduler.ForgetLoads(f.upstream)
	delete(f.neighbors, f.upstream)
	f.upstream, f.upstreamSince = name, f.sent.Sequence()+1
	f.lastUpstreamAt = f.now
	f.nextBroadcast = 0
	return true
}

// upstreamsToProbe returns the candidates to ask whether they can be the upstream.
func (f *Forwarder) upstreamsToProbe() []string {
	candidates := f.arrangement.Upstreams()
	if len(candidates) == 0 {
		return nil
	}
	current, ok := f.neighbors[f.upstream]
	if ok && current.reachable(f.now) {
		if f.upstream == candidates[0] || f.now < f.nextUpgrade {
			return nil
		}
		f.nextUpgrade = f.now.Add(upgradeInterval)
		return candidates[:1]
	}
	var probes []string
	for range min(upstreamProbes, len(candidates)) {
		f.probeIndex++
		if name := candidates[(f.probeIndex-1)%len(candidates)]; name != f.upstream {
			probes = append(probes, name)
		}
	}
	return probes
}

// forgetNeighbors drops neighbors that have been silent for long.
func (f *Forwarder) forgetNeighbors() {
	for name, n := range f.neighbors {
		if f.now.Since(n.lastSeen) > neighborTimeout {
			f.scheduler.ForgetLoads(name)
			delete(f.neighbors, name)
		}
	}
	f.limiter.ForgetPeers(f.now, neighborTimeout)
}

// countIn returns the number of known neighbors in the role.
func (f *Forwarder) countIn(wanted role) int {
	count := 0
	for _, n := range f.neighbors {
		if n.role == wanted && n.reachable(f.now) {
			count++
		}
	}
	return count
}
