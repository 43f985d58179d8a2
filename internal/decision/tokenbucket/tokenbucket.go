// Package tokenbucket rate limits teams with one token bucket per team that all instances
// share, without a request to another instance.
//
// Load pattern: one team sends several times its rate, unevenly distributed over the
// instances, while instances start, stop and are partitioned.
//
// Each instance counts the tokens that it has admitted since its start and broadcasts the
// counts several times a second. A receiver subtracts them from its own copy of the
// bucket, which may become negative: tokens that several instances admitted at the same
// time are paid back by the refill, so that the excess is bounded by the delay of the
// messages. An instance uses only the share of the rate and the burst that belongs to the
// instances reachable from it, so that the sides of a partition never use more than the
// whole.
//
// # Usage
//
//	limiter := tokenbucket.New()
//	limiter.SetMembers(now, reachable, total)
//	limiter.SetLimit(now, "press", rate, burst, initial)
//	ok := limiter.Acquire(now, "press", tokens)
//	limiter.ReceivePeer(now, "edge-2", incarnation, admitted, levels)
package tokenbucket

import (
	"maps"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// bucket is one team's bucket, in tokens.
type bucket struct {
	rate       float64 // rate is in tokens per second.
	burst      float64
	level      float64 // level is negative while tokens are owed.
	lastRefill clock.Millis
	admitted   int64 // admitted counts the tokens since this instance's start.
	// synced is set if the level includes what the peers had admitted before this
	// instance started.
	synced bool
}

// PeerTimeout is the time without a message after which a peer counts as unreachable. It
// allows for a few lost datagrams.
const PeerTimeout = 700 * clock.Millisecond

// peer has the counts of another instance.
type peer struct {
	incarnation string
	admitted    map[string]int64 // admitted is the count by team since the peer's start.
	lastSeen    clock.Millis
}

// Limiter has the buckets of one instance. It is not safe for concurrent use.
type Limiter struct {
	buckets map[string]*bucket // buckets is keyed by team.
	peers   map[string]peer    // peers is keyed by instance.
	share   float64            // share is the fraction of the limits that this instance's side may use.
}

// New returns a Limiter without teams.
func New() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, peers: map[string]peer{}, share: 1}
}

// SetMembers sets the number of reachable instances, this one included, and of all
// instances.
func (l *Limiter) SetMembers(now clock.Millis, reachable, total int) {
	share := min(1, float64(max(1, reachable))/float64(max(1, total)))
	if share == l.share {
		return
	}
	for _, b := range l.buckets {
		b.refill(now, l.share)
	}
	l.share = share
	for _, b := range l.buckets {
		b.level = min(b.level, b.burst*share)
	}
}

// SetLimit sets a team's rate in tokens per second and its burst in tokens. A new bucket
// starts with the initial tokens, as it is not known what the team has used before.
func (l *Limiter) SetLimit(now clock.Millis, team string, rate, burst, initial int64) {
	b, ok := l.buckets[team]
	if !ok {
		b = &bucket{lastRefill: now, level: float64(initial)}
		l.buckets[team] = b
	} else {
		b.refill(now, l.share)
	}
	b.rate, b.burst = float64(rate), float64(burst)
	b.level = min(b.level, b.burst*l.share)
}

// Retain drops the buckets of all teams except those for which keep returns true.
func (l *Limiter) Retain(keep func(team string) bool) {
	maps.DeleteFunc(l.buckets, func(team string, _ *bucket) bool { return !keep(team) })
}

func (b *bucket) refill(now clock.Millis, share float64) {
	seconds := float64(max(0, now.Since(b.lastRefill))) / float64(clock.Second)
	b.lastRefill = max(b.lastRefill, now)
	b.level = min(b.burst*share, b.level+b.rate*share*seconds)
}

// Acquire takes tokens from the team's bucket. It reports false if the bucket has too
// few. A team without a limit is always admitted.
func (l *Limiter) Acquire(now clock.Millis, team string, tokens int64) bool {
	b, ok := l.buckets[team]
	if !ok {
		return true
	}
	b.refill(now, l.share)
	if b.level < float64(tokens) {
		return false
	}
	b.level -= float64(tokens)
	b.admitted += tokens
	return true
}

// Release returns the tokens of a request that did not run.
func (l *Limiter) Release(team string, tokens int64) {
	if b, ok := l.buckets[team]; ok {
		b.level += float64(tokens)
		b.admitted -= tokens
	}
}

// WaitTime returns the time until the bucket has the tokens.
func (l *Limiter) WaitTime(now clock.Millis, team string, tokens int64) clock.Millis {
	b, ok := l.buckets[team]
	if !ok || b.rate <= 0 {
		return 0
	}
	b.refill(now, l.share)
	missing := float64(tokens) - b.level
	return clock.Millis(max(0, missing/(b.rate*l.share)*float64(clock.Second)))
}

// Level returns the tokens in the team's bucket; negative while some are owed.
func (l *Limiter) Level(now clock.Millis, team string) int64 {
	b, ok := l.buckets[team]
	if !ok {
		return 0
	}
	b.refill(now, l.share)
	return int64(b.level)
}

// Share returns the fraction of the rates and bursts that this side of a partition may
// use: less than 1 while some instances are unreachable.
func (l *Limiter) Share() float64 { return l.share }

// Admitted returns the tokens that this instance has admitted since its start, by team.
func (l *Limiter) Admitted() map[string]int64 {
	admitted := make(map[string]int64, len(l.buckets))
	for team, b := range l.buckets {
		if b.admitted != 0 {
			admitted[team] = b.admitted
		}
	}
	return admitted
}

// Levels returns the levels of the synced buckets, by team, for an instance that has just
// started.
func (l *Limiter) Levels(now clock.Millis) map[string]int64 {
	levels := make(map[string]int64, len(l.buckets))
	for team, b := range l.buckets {
		if b.synced {
			b.refill(now, l.share)
			levels[team] = int64(b.level)
		}
	}
	return levels
}

// ReceivePeer updates the buckets with the tokens that a peer has admitted since its
// start. A bucket that is not synced takes over the peer's level, if there is one. It
// returns the tokens that were subtracted, by team.
func (l *Limiter) ReceivePeer(now clock.Millis, name, incarnation string, admitted, levels map[string]int64) map[string]int64 {
	subtracted := map[string]int64{}
	last, known := l.peers[name]
	sameIncarnation := known && last.incarnation == incarnation
	// A peer that was unreachable has used only its own share of the limits, which
	// this instance's share did not include.
	wasUnreachable := known && now.Since(last.lastSeen) > PeerTimeout
	for team, b := range l.buckets {
		b.refill(now, l.share)
		if level, ok := levels[team]; ok && !b.synced {
			b.level = min(b.burst*l.share, float64(level))
			b.synced = true
			continue
		}
		used := admitted[team]
		switch {
		case !known, wasUnreachable:
			// Tokens admitted before this instance knew the peer are not subtracted.
			used = 0
		case sameIncarnation:
			used -= last.admitted[team]
		}
		b.level -= float64(used)
		if used != 0 {
			subtracted[team] = used
		}
	}
	l.peers[name] = peer{incarnation: incarnation, admitted: maps.Clone(admitted), lastSeen: now}
	return subtracted
}

// ForgetPeers drops the counts of peers that have not been received for the time. What
// they report later counts from then on.
func (l *Limiter) ForgetPeers(now, unheardFor clock.Millis) {
	maps.DeleteFunc(l.peers, func(_ string, p peer) bool { return now.Since(p.lastSeen) > unheardFor })
}

// MarkSynced marks all buckets as synced: the instance has run long enough for the levels
// to account for the tokens that were admitted before its start.
func (l *Limiter) MarkSynced() {
	for _, b := range l.buckets {
		b.synced = true
	}
}
