package scheduler

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

const (
	// sentGracePeriod is the time for which a sent part counts as cached even if a
	// report of the server lacks it: reports arrive once a second, and some hundred
	// milliseconds late.
	sentGracePeriod = 1500 * clock.Millisecond
	// reportTimeout is the age of the latest report up to which only the server's
	// reports remove parts. Without reports, evictions are estimated.
	reportTimeout = 5 * clock.Second
	// reportedCapacityFactor is the multiple of a server's memory that its cached parts
	// may take while it reports evictions: parts that were sent and are not prefilled
	// yet count as well.
	reportedCapacityFactor = 2
	// unconfirmedTimeout is the time for which a sent part counts as cached although
	// the reports of its server don't confirm it. After that, the request was probably
	// rejected, or the part evicted at once.
	unconfirmedTimeout = 4 * clock.Second
	// recentUseWindow is the time after its last use in which a part is assumed not to
	// be evicted between two reads of the server's cache: engines evict the least
	// recently used parts first.
	recentUseWindow = 2 * clock.Second
	// blockTokens is the number of tokens by which a cached part may fall short and
	// still count as complete: engines cache complete blocks only.
	blockTokens = 16
	// maxSharedParts bounds the set of parts that are known to be shared; the set is
	// cleared when it is full.
	maxSharedParts = 8192
)

// PartKey returns the key of a prompt part under a salt.
func PartKey(salt, part string) uint64 { return partKey(salt, part) }

// RecordReport sets the number of tokens that the server reports as cached of a part;
// 0 after an eviction.
func (s *Scheduler) RecordReport(now clock.Millis, server string, key uint64, tokens int64) {
	cache := s.cacheOf(server)
	cache.lastReport, cache.capacity = now, reportedCapacityFactor*cache.totalMemory
	cache.recordReport(now, key, tokens)
}

// ResetCache drops the view of the server's cache, except for parts that were sent to
// it within sentGracePeriod.
func (s *Scheduler) ResetCache(now clock.Millis, server string) {
	cache := s.cacheOf(server)
	for key, part := range cache.parts {
		if now.Since(part.lastSent) > sentGracePeriod {
			cache.remove(key)
		}
	}
}

// IsShared reports whether the part was followed by another part in some prompt.
func (s *Scheduler) IsShared(key uint64) bool {
	_, ok := s.sharedParts[key]
	return ok
}

func (s *Scheduler) markShared(key uint64) {
	if len(s.sharedParts) >= maxSharedParts {
		clear(s.sharedParts)
	}
	s.sharedParts[key] = struct{}{}
}

// recordReport sets the number of tokens that the server reports as cached of the part.
func (c *serverCache) recordReport(now clock.Millis, key uint64, tokens int64) {
	part, ok := c.parts[key]
	if ok && tokens < part.tokens && now.Since(part.lastSent) <= sentGracePeriod {
		return
	}
	if tokens == 0 {
		c.remove(key)
		return
	}
	if ok && tokens < part.tokens {
		c.tokens += tokens - part.tokens
		part.tokens = tokens
		c.parts[key] = part
		return
	}
	c.touch(now, key, tokens)
	if part, ok = c.parts[key]; ok {
		part.confirmed = true
		c.parts[key] = part
	}
}

func (c *serverCache) remove(key uint64) {
	c.tokens -= c.parts[key].tokens
	delete(c.parts, key)
}
