package objectserver

import "time"

// quota bounds calls a second, with a second's worth of burst.
type quota struct {
	rate  float64
	level float64
	at    time.Time
}

func newQuota(rate float64) quota {
	return quota{rate: rate, level: rate, at: time.Now()}
}

func (q *quota) take(now time.Time) bool {
	q.level = min(q.rate, q.level+now.Sub(q.at).Seconds()*q.rate)
	q.at = now
	if q.level < 1 {
		return false
	}
	q.level--
	return true
}
