package limiter

import (
	"math/bits"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// microTokens is how many units of a level make one token, so that slow rates
// lose nothing to rounding.
const microTokens = 1_000_000

// bucket is a token bucket. Values are immutable.
type bucket struct {
	rate  int64 // rate is in tokens a second.
	burst int64 // burst is in tokens.
	level int64 // level is in micro-tokens at the instant at.
	at    clock.Millis
}

func newBucket(now clock.Millis, rate, burst int64) bucket {
	return bucket{rate: rate, burst: burst, at: now}
}

func (b bucket) withFull() bucket {
	b.level = b.burst * microTokens
	return b
}

// withTime returns the bucket with what accrued until now.
func (b bucket) withTime(now clock.Millis) bucket {
	if now <= b.at {
		return b
	}
	b.level = min(b.burst*microTokens, saturatingAdd(b.level, accrued(b.rate, now.Since(b.at))))
	b.at = now
	return b
}

// withLimit returns the bucket with another rate and burst; a level above the
// new burst is cut.
func (b bucket) withLimit(now clock.Millis, rate, burst int64) bucket {
	b = b.withTime(now)
	b.rate = rate
	b.burst = burst
	b.level = min(b.level, burst*microTokens)
	return b
}

// withDelta returns the bucket with tokens added, up to the burst.
func (b bucket) withDelta(tokens int64) bucket {
	b.level = min(b.burst*microTokens, b.level+tokens*microTokens)
	return b
}

// tokens returns the whole tokens in the bucket.
func (b bucket) tokens() int64 {
	return b.level / microTokens
}

// until returns how long it takes until the bucket has the tokens.
func (b bucket) until(tokens int64) clock.Millis {
	missing := tokens*microTokens - b.level
	if missing <= 0 || b.rate <= 0 {
		return 0
	}
	perMilli := b.rate * (microTokens / int64(clock.Second))
	return clock.Millis((missing + perMilli - 1) / perMilli)
}

// accrued returns the micro-tokens that rate gives in span.
func accrued(rate int64, span clock.Millis) int64 {
	perMilli := uint64(rate) * (microTokens / uint64(clock.Second))
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
