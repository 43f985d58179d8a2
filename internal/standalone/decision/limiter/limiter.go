// Package limiter enforces a failure domain's share of the teams' rates and
// bursts (its quota) with token buckets.
//
// The shares of all domains sum to at most the team's rate and burst, and each
// shard of a domain's quota has one holder at a time, so acquiring tokens needs
// no consensus. A holder that takes over starts with empty buckets: its
// predecessor may have spent all tokens just before.
//
// # Usage
//
//	quota := limiter.New(maxOutstanding)
//	quota.AddShard(now, shard, limiter.InitiallyEmpty)
//	grant := quota.Acquire(now, "acquisition-1", team, 500, share)
//	quota.Refund(now, "acquisition-1", team, 200)
package limiter

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// fullShare is a team's full limit, in thousandths.
const fullShare = 1000

// ShardCount is the number of shards of a domain's quota; teams are assigned by hash.
const ShardCount = 4

// ShardOf returns the shard that holds the team's quota.
func ShardOf(team string) int {
	return int(xxhash.Sum64String(team) % ShardCount)
}

// InitialLevel is the level of a shard's buckets when its holder takes over.
type InitialLevel int

// Initial levels.
const (
	// InitiallyEmpty is for a holder that succeeds another one.
	InitiallyEmpty InitialLevel = iota
	// InitiallyFull is for the first holder ever.
	InitiallyFull
)

// Share is a domain's share of one team's limit.
type Share struct {
	Rate  int64 // Rate is in tokens per second.
	Burst int64 // Burst is in tokens.
}

// ShareOf returns the given thousandths of the team's limit, rounded down.
func ShareOf(team config.Team, thousandths int64) Share {
	return Share{Rate: team.Rate * thousandths / fullShare, Burst: team.Burst * thousandths / fullShare}
}

// Grant is the result of an acquisition.
type Grant struct {
	Tokens int64
	// RetryAfter is the time until the missing tokens have accrued; 0 when there
	// is no such time.
	RetryAfter clock.Millis
	// NotHolder reports that this instance does not hold the shard.
	NotHolder bool
}

// Limiter is the quota that one instance holds. It is not safe for concurrent
// use.
type Limiter struct {
	shards         [ShardCount]*shard
	maxOutstanding int
}

// shard has the token buckets of one held shard.
type shard struct {
	heldSince        clock.Millis
	initialLevel     InitialLevel
	buckets          map[string]bucket
	acquisitions     map[string]acquisition
	acquisitionOrder []string
}

// acquisition is an outstanding acquisition, kept for its refund.
type acquisition struct {
	team   string
	tokens int64
}

// New returns a Limiter without shards. It keeps at most maxOutstanding
// acquisitions per shard; older ones can't be refunded.
func New(maxOutstanding int) *Limiter {
	return &Limiter{maxOutstanding: maxOutstanding}
}

// AddShard starts holding the shard.
func (l *Limiter) AddShard(now clock.Millis, index int, level InitialLevel) {
	l.shards[index] = &shard{heldSince: now, initialLevel: level, buckets: map[string]bucket{}, acquisitions: map[string]acquisition{}}
}

// RemoveShard stops holding the shard and discards its buckets.
func (l *Limiter) RemoveShard(index int) {
	l.shards[index] = nil
}

// HasShard reports whether this instance holds the shard.
func (l *Limiter) HasShard(index int) bool {
	return l.shards[index] != nil
}

// Acquire takes at most the given number of tokens from the team's bucket and
// records the acquisition under its identifier. A repeated identifier gets nothing.
func (l *Limiter) Acquire(now clock.Millis, id, team string, tokens int64, share Share) Grant {
	held := l.shards[ShardOf(team)]
	if held == nil {
		return Grant{NotHolder: true}
	}
	if _, ok := held.acquisitions[id]; ok || tokens <= 0 {
		return Grant{}
	}
	current := held.currentBucket(now, team, share)
	acquired := min(tokens, current.tokens())
	grant := Grant{Tokens: acquired}
	if acquired < tokens && tokens <= share.Burst {
		grant.RetryAfter = current.timeUntil(tokens)
	}
	held.buckets[team] = current.withAdded(-acquired)
	if acquired > 0 {
		held.recordAcquisition(id, acquisition{team: team, tokens: acquired}, l.maxOutstanding)
	}
	return grant
}

// Refund returns unused tokens of a recorded acquisition to the bucket. An
// acquisition is refunded once, and at most with what it took.
func (l *Limiter) Refund(now clock.Millis, id, team string, tokens int64) {
	held := l.shards[ShardOf(team)]
	if held == nil {
		return
	}
	recorded, ok := held.acquisitions[id]
	if !ok || recorded.team != team || tokens < 0 {
		return
	}
	delete(held.acquisitions, id)
	current := held.buckets[team].refilledUntil(now)
	held.buckets[team] = current.withAdded(min(tokens, recorded.tokens))
}

// Balance returns the number of tokens in the team's bucket, and whether there is one.
func (l *Limiter) Balance(now clock.Millis, team string) (int64, bool) {
	held := l.shards[ShardOf(team)]
	if held == nil {
		return 0, false
	}
	current, ok := held.buckets[team]
	return current.refilledUntil(now).tokens(), ok
}

// RemoveUnconfigured removes the buckets of teams that are no longer configured.
func (l *Limiter) RemoveUnconfigured(configured func(team string) bool) {
	for _, held := range l.shards {
		if held == nil {
			continue
		}
		for team := range held.buckets {
			if !configured(team) {
				delete(held.buckets, team)
			}
		}
	}
}

func (s *shard) currentBucket(now clock.Millis, team string, share Share) bucket {
	if current, ok := s.buckets[team]; ok {
		return current.withLimit(now, share.Rate, share.Burst)
	}
	created := newBucket(s.heldSince, share.Rate, share.Burst)
	if s.initialLevel == InitiallyFull {
		created = created.filled()
	}
	return created.refilledUntil(now)
}

func (s *shard) recordAcquisition(id string, added acquisition, limit int) {
	for len(s.acquisitionOrder) >= limit {
		delete(s.acquisitions, s.acquisitionOrder[0])
		s.acquisitionOrder = s.acquisitionOrder[1:]
	}
	s.acquisitions[id] = added
	s.acquisitionOrder = append(s.acquisitionOrder, id)
}
