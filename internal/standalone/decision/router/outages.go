package router

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Times of an outage of the platform. A holder stops at most heartbeatEvery plus
// outageGrace after another instance of its domain has reached the platform; a
// taker sees the platform for longer before it takes (leaser.TTL and a margin).
const (
	// outageGrace is how long a holding goes on after the outage was last seen.
	outageGrace = 1500 * clock.Millisecond
	// witnessAge is how old a peer's word on the platform may be.
	witnessAge = 2 * clock.Second
	// pauseGap is the time between two steps that tells of a paused process: an
	// instance takes a step at each heartbeat at least.
	pauseGap = 1500 * clock.Millisecond
)

// claim is a peer's word that it holds a shard of the own domain's rights.
type claim struct {
	instance string
	at       clock.Millis
}

// noteStep sees whether the process was paused. What was heard during the pause
// is old by then, so a holding does not go on without a renewed lease.
func (r *Router) noteStep() {
	if r.lastStep != 0 && r.now.Since(r.lastStep) > pauseGap {
		r.paused = true
		r.relist()
	}
	r.lastStep = r.now
}

// noteOutage remembers when the platform was last seen to be out of reach of
// the whole failure domain: of this instance, and of all others that are heard.
func (r *Router) noteOutage() {
	if r.platformDown && r.domainIsCut() {
		r.outageSeenAt = r.now
	}
}

func (r *Router) domainIsCut() bool {
	near := slices.DeleteFunc(r.known.Peers(), func(p tracker.Peer) bool { return p.Domain != r.settings.Domain || p.Leaving })
	heard := slices.DeleteFunc(slices.Clone(near), func(p tracker.Peer) bool {
		return p.HeardAt == 0 || r.now.Since(p.HeardAt) > witnessAge
	})
	if len(near) > 0 && len(heard) == 0 {
		return false
	}
	return !slices.ContainsFunc(heard, func(p tracker.Peer) bool { return !p.PlatformDown })
}

// outage reports whether holdings go on without the platform: nobody in the
// domain reaches it, so nobody can take them over.
func (r *Router) outage() bool {
	return !r.paused && r.outageSeenAt != 0 && r.now.Since(r.outageSeenAt) <= outageGrace
}

// noteClaim remembers that the peer says that it holds the shard.
func (r *Router) noteClaim(shard int, instance string) {
	r.claims[shard] = claim{instance: instance, at: r.now}
}

// claimed reports whether a peer has lately said that it holds the shard.
func (r *Router) claimed(shard int) bool {
	return r.claims[shard].at != 0 && r.now.Since(r.claims[shard].at) <= witnessAge
}
