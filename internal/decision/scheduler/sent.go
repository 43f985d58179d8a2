package scheduler

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// sentPart is a prompt part that was sent to a server.
type sentPart struct {
	sentAt clock.Millis
	server string
	part   [2]uint64 // part is the key and the number of tokens.
	// confirmed is set if the server had already reported the part.
	confirmed bool
}

const (
	// sentBroadcastPeriod is the time for which a sent part is broadcast to the peers:
	// in several digests, as some are lost.
	sentBroadcastPeriod = 400 * clock.Millisecond
	// maxRecentlySent bounds the sent parts that are broadcast.
	maxRecentlySent = 128
)

// RecentlySent returns the keys and the token counts of the parts that were sent within
// sentBroadcastPeriod, by server. With onlyNew it leaves out those that the server had
// already reported.
func (s *Scheduler) RecentlySent(now clock.Millis, onlyNew bool) map[string][][2]uint64 {
	sent := map[string][][2]uint64{}
	for _, recent := range s.recentlySent {
		if now.Since(recent.sentAt) <= sentBroadcastPeriod && !(onlyNew && recent.confirmed) && !slices.Contains(sent[recent.server], recent.part) {
			sent[recent.server] = append(sent[recent.server], recent.part)
		}
	}
	return sent
}

// ReceiveSent records the parts that a peer has recently sent, by server.
func (s *Scheduler) ReceiveSent(now clock.Millis, sent map[string][][2]uint64) {
	for _, server := range slices.Sorted(maps.Keys(sent)) {
		readyAt := now.Add(max(minPrefillTime, s.PrefillTime(server, s.ServerLoad(now, server).PrefillTokens)))
		for _, part := range sent[server] {
			s.markShared(part[0])
			s.cacheOf(server).recordSent(now, readyAt, part[0], int64(part[1]))
		}
	}
}

// SharedPartKeys returns the keys and the tokens of the request's shared parts under a
// salt, in order.
func (r Request) SharedPartKeys(salt string) [][2]uint64 {
	var keys [][2]uint64
	for _, part := range r.sharedParts() {
		keys = append(keys, [2]uint64{partKey(salt, part.ID), uint64(part.Tokens)})
	}
	return keys
}

// CachedPrefix returns the length, in tokens, of the prefix of the parts, given by their
// keys and tokens, that the server has or will have after their prefill.
func (s *Scheduler) CachedPrefix(now clock.Millis, server string, parts [][2]uint64) int64 {
	cache, ok := s.caches[server]
	if !ok {
		return 0
	}
	var prefix int64
	for _, part := range parts {
		cached, tokens := cache.cachedTokens(now, part[0]), int64(part[1])
		if cached == 0 || cached < tokens-blockTokens {
			return prefix + cached
		}
		prefix += tokens
	}
	return prefix
}
