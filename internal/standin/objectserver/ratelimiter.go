package objectserver

import "time"

// rateLimiter is a token bucket that limits the calls per second; its burst is one
// second's worth of calls.
type rateLimiter struct {
	rate      float64
	tokens    float64
	updatedAt time.Time
}

func newRateLimiter(rate float64) rateLimiter {
	return rateLimiter{rate: rate, tokens: rate, updatedAt: time.Now()}
}

func (l *rateLimiter) allow(now time.Time) bool {
	l.tokens = min(l.rate, l.tokens+now.Sub(l.updatedAt).Seconds()*l.rate)
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
