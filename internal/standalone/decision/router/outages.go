package router

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Timeouts during an outage of the platform. A holder stops granting at most
// heartbeatInterval plus outageGrace after another instance of its domain has
// reached the platform. Another instance acquires the lease only after it has
// observed the object in the platform for longer than that (leaser.TTL and a margin).
const (
	// outageGrace is the time for which a holder keeps granting after the outage was
	// last detected.
	outageGrace = 1500 * clock.Millisecond
	// peerReportMaxAge is the maximum age of a peer's report on the platform or on a
	// lease.
	peerReportMaxAge = 2 * clock.Second
	// pauseThreshold is the interval between two steps above which the process counts
	// as paused. A running instance takes a step at each heartbeat at least.
	pauseThreshold = 1500 * clock.Millisecond
)

// leaseClaim is a peer's report that it holds a shard of the local domain's quota.
type leaseClaim struct {
	instance   string
	receivedAt clock.Millis
}

// detectPause detects whether the process was paused. Messages received during the
// pause are stale by then, so an outage does not extend an expired lease until a
// lease has been renewed.
func (r *Router) detectPause() {
	if r.lastStepAt != 0 && r.now.Since(r.lastStepAt) > pauseThreshold {
		r.paused = true
		r.refreshInstances()
	}
	r.lastStepAt = r.now
}

// updateOutage records the time if the platform is unreachable for the whole failure
// domain: for this instance and for all peers with a recent heartbeat.
func (r *Router) updateOutage() {
	if r.platformDown && r.domainCutOff() {
		r.outageLastSeen = r.now
	}
}

// domainCutOff reports whether no local peer with a recent heartbeat reaches the
// platform. It reports false if none of the local peers has sent one recently.
func (r *Router) domainCutOff() bool {
	peers := slices.DeleteFunc(r.view.Peers(), func(p tracker.Peer) bool { return p.Domain != r.settings.Domain || p.Leaving })
	recent := slices.DeleteFunc(slices.Clone(peers), func(p tracker.Peer) bool {
		return p.LastSeen == 0 || r.now.Since(p.LastSeen) > peerReportMaxAge
	})
	if len(peers) > 0 && len(recent) == 0 {
		return false
	}
	return !slices.ContainsFunc(recent, func(p tracker.Peer) bool { return !p.PlatformDown })
}

// inOutage reports whether holders keep granting without the platform: no instance
// in the domain reaches it, so none can acquire their leases.
func (r *Router) inOutage() bool {
	return !r.paused && r.outageLastSeen != 0 && r.now.Since(r.outageLastSeen) <= outageGrace
}

// recordClaim records a peer's report that it holds the shard.
func (r *Router) recordClaim(shard int, instance string) {
	r.leaseClaims[shard] = leaseClaim{instance: instance, receivedAt: r.now}
}

// recentlyClaimed reports whether a peer has recently reported that it holds the
// shard.
func (r *Router) recentlyClaimed(shard int) bool {
	return r.leaseClaims[shard].receivedAt != 0 && r.now.Since(r.leaseClaims[shard].receivedAt) <= peerReportMaxAge
}
