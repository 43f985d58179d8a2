package limiter

import (
	"math/bits"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// microTokensPerToken is the number of level units per token; the fine unit keeps
// the rounding error of slow rates negligible.
const microTokensPerToken = 1_000_000

// bucket is a token bucket. Values are immutable.
type bucket struct {
	rate      int64 // rate is in tokens per second.
	burst     int64 // burst is in tokens.
	level     int64 // level is in micro-tokens, at the time updatedAt.
	updatedAt clock.Millis
}

func newBucket(now clock.Millis, rate, burst int64) bucket {
	return bucket{rate: rate, burst: burst, updatedAt: now}
}

func (b bucket) filled() bucket {
	b.level = b.burst * microTokensPerToken
	return b
}

// refilledUntil returns the bucket with the tokens that accrued until now.
func (b bucket) refilledUntil(now clock.Millis) bucket {
	if now <= b.updatedAt {
		return b
	}
	b.level = min(b.burst*microTokensPerToken, saturatingAdd(b.level, accrued(b.rate, now.Since(b.updatedAt))))
	b.updatedAt = now
	return b
}

// withLimit returns the bucket with another rate and burst; a level above the
// new burst is capped.
func (b bucket) withLimit(now clock.Millis, rate, burst int64) bucket {
	b = b.refilledUntil(now)
	b.rate = rate
	b.burst = burst
	b.level = min(b.level, burst*microTokensPerToken)
	return b
}

// withAdded returns the bucket with the tokens added, capped at the burst.
func (b bucket) withAdded(tokens int64) bucket {
	b.level = min(b.burst*microTokensPerToken, b.level+tokens*microTokensPerToken)
	return b
}

// tokens returns the number of whole tokens in the bucket.
func (b bucket) tokens() int64 {
	return b.level / microTokensPerToken
}

// timeUntil returns the time until the bucket has the given number of tokens.
func (b bucket) timeUntil(tokens int64) clock.Millis {
	missing := tokens*microTokensPerToken - b.level
	if missing <= 0 || b.rate <= 0 {
		return 0
	}
	perMilli := b.rate * (microTokensPerToken / int64(clock.Second))
	return clock.Millis((missing + perMilli - 1) / perMilli)
}

// accrued returns the micro-tokens that accrue at the rate during the span.
func accrued(rate int64, span clock.Millis) int64 {
	perMilli := uint64(rate) * (microTokensPerToken / uint64(clock.Second))
	high, low := bits.Mul64(perMilli, uint64(span))
	if high != 0 || low > 1<<62 {
		return 1 << 62
	}
	return int64(low)
}

func saturatingAdd(a, b int64) int64 {
	if a > (1<<62)-b {
		return 1 << 62
	}
	return a + b
}
