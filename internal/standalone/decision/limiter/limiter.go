// Package limiter holds a failure domain's share of the teams' rates and
// bursts: token buckets from which gateways draw.
//
// The shares of all domains sum to at most the team's rate and burst, and one
// holder at a time owns a shard of a domain's shares, so no agreement is
// needed when tokens are drawn. A holder that takes over starts empty: its
// predecessor may have spent everything just before.
//
// # Usage
//
//	rights := limiter.New(maxDraws)
//	rights.Hold(now, shard, limiter.StartEmpty)
//	granted := rights.Draw(now, "draw-1", team, 500, share)
//	rights.Refund(now, "draw-1", 200)
package limiter

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// whole is the thousandths of a whole limit.
const whole = 1000

// ShardCount is into how many shards a domain's rights are split, by team.
const ShardCount = 4

// ShardOf returns the shard that has the team's rights.
func ShardOf(team string) int {
	return int(xxhash.Sum64String(team) % ShardCount)
}

// InitialLevel tells what the buckets of a shard hold when its holder begins.
type InitialLevel int

// The starts.
const (
	// InitiallyEmpty is for a holder that follows another one.
	InitiallyEmpty InitialLevel = iota
	// InitiallyFull is for the first holder ever.
	InitiallyFull
)

// Share is a domain's part of one team's limit.
type Share struct {
	Rate  int64 // Rate is in tokens a second.
	Burst int64 // Burst is in tokens.
}

// ShareOf returns the given thousandths of the team's limit, rounded down.
func ShareOf(team config.Team, thousandths int64) Share {
	return Share{Rate: team.Rate * thousandths / whole, Burst: team.Burst * thousandths / whole}
}

// Grant is the answer to a draw.
type Grant struct {
	Tokens int64
	// RetryAfter is when the missing tokens will have accrued, or 0 when they
	// never will.
	RetryAfter clock.Millis
	// NotHolder tells that the shard's rights are not held here.
	NotHolder bool
}

// Limiter is the rights that one instance holds. It is not safe for
// concurrent use.
type Limiter struct {
	shards   [ShardCount]*shard
	maxDraws int
}

// shard is the buckets of one shard while it is held.
type shard struct {
	since   clock.Millis
	start   InitialLevel
	buckets map[string]bucket
	draws   map[string]draw
	order   []string
}

// draw is an outstanding draw, remembered for its refund.
type draw struct {
	team   string
	tokens int64
}

// New returns a Limiter that holds nothing. It remembers at most maxDraws
// outstanding draws a shard; older ones can't be refunded.
func New(maxDraws int) *Limiter {
	return &Limiter{maxDraws: maxDraws}
}

// AddShard begins to hold the shard.
func (l *Limiter) AddShard(now clock.Millis, number int, start InitialLevel) {
	l.shards[number] = &shard{since: now, start: start, buckets: map[string]bucket{}, draws: map[string]draw{}}
}

// RemoveShard ends the holding of the shard. Its balances are lost.
func (l *Limiter) RemoveShard(number int) {
	l.shards[number] = nil
}

// HasShard reports whether the shard is held.
func (l *Limiter) HasShard(number int) bool {
	return l.shards[number] != nil
}

// Acquire takes up to the tokens from the team's bucket and remembers the draw
// under its identifier. A repeated identifier takes nothing.
func (l *Limiter) Acquire(now clock.Millis, id, team string, tokens int64, share Share) Grant {
	held := l.shards[ShardOf(team)]
	if held == nil {
		return Grant{NotHolder: true}
	}
	if _, ok := held.draws[id]; ok || tokens <= 0 {
		return Grant{}
	}
	current := held.bucket(now, team, share)
	taken := min(tokens, current.tokens())
	granted := Grant{Tokens: taken}
	if taken < tokens && tokens <= share.Burst {
		granted.RetryAfter = current.until(tokens)
	}
	held.buckets[team] = current.withDelta(-taken)
	if taken > 0 {
		held.remember(id, draw{team: team, tokens: taken}, l.maxDraws)
	}
	return granted
}

// Refund gives back unused tokens of a remembered draw. Each draw is refunded
// once, and never with more than it took.
func (l *Limiter) Refund(now clock.Millis, id, team string, tokens int64) {
	held := l.shards[ShardOf(team)]
	if held == nil {
		return
	}
	drawn, ok := held.draws[id]
	if !ok || drawn.team != team || tokens < 0 {
		return
	}
	delete(held.draws, id)
	current := held.buckets[team].withTime(now)
	held.buckets[team] = current.withDelta(min(tokens, drawn.tokens))
}

// Balance returns the team's tokens held here.
func (l *Limiter) Balance(now clock.Millis, team string) (int64, bool) {
	held := l.shards[ShardOf(team)]
	if held == nil {
		return 0, false
	}
	current, ok := held.buckets[team]
	return current.withTime(now).tokens(), ok
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

func (s *shard) bucket(now clock.Millis, team string, share Share) bucket {
	if current, ok := s.buckets[team]; ok {
		return current.withLimit(now, share.Rate, share.Burst)
	}
	fresh := newBucket(s.since, share.Rate, share.Burst)
	if s.start == InitiallyFull {
		fresh = fresh.withFull()
	}
	return fresh.withTime(now)
}

func (s *shard) remember(id string, drawn draw, limit int) {
	for len(s.order) >= limit {
		delete(s.draws, s.order[0])
		s.order = s.order[1:]
	}
	s.draws[id] = drawn
	s.order = append(s.order, id)
}
