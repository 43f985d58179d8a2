package scheduler

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// defaultCacheTokens is the assumed cache capacity of a server of unknown memory.
const defaultCacheTokens = 50_000

// minPrefillTime is the minimum time after which a part that was sent to a server can
// be fetched from it: about the prefill of a long prompt.
const minPrefillTime = 150 * clock.Millisecond

// serverCache is the estimated content of one server's cache, with LRU eviction.
type serverCache struct {
	parts       map[uint64]cachedPart // parts is keyed by part key.
	queue       []partUse             // queue has the uses in order, outdated ones included.
	capacity    int64                 // capacity is the limit of tokens.
	totalMemory int64                 // totalMemory is the server's whole memory in tokens.
	tokens      int64                 // tokens is the sum over parts.
	useCount    uint64
	// lastReport is the time of the server's latest report of its cache; 0 for none.
	lastReport clock.Millis
}

type cachedPart struct {
	tokens    int64
	useNumber uint64       // useNumber is the value of useCount at the last use.
	readyAt   clock.Millis // readyAt is the expected end of its prefill.
	lastSent  clock.Millis // lastSent is 0 for a part that was only reported.
	lastUsed  clock.Millis // lastUsed is the time when it was last sent or reported as stored.
	confirmed bool         // confirmed is set if the server has reported it.
}

// partUse is one use of a part. It is outdated if the part was used again.
type partUse struct {
	key    uint64
	number uint64
}

func newServerCache() *serverCache {
	return &serverCache{parts: map[uint64]cachedPart{}, capacity: defaultCacheTokens, totalMemory: defaultCacheTokens}
}

// hasRecentReport reports whether the server currently reports its evictions.
func (c *serverCache) hasRecentReport(now clock.Millis) bool {
	return c.lastReport > 0 && now.Since(c.lastReport) < reportTimeout
}

func partKey(salt, part string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + part)
}

// cachedTokens returns the tokens of the part that the server has, or will have after
// the prefill.
func (c *serverCache) cachedTokens(now clock.Millis, key uint64) int64 {
	part, ok := c.parts[key]
	if !ok || (!part.confirmed && c.hasRecentReport(now) && now.Since(part.lastSent) > unconfirmedTimeout) {
		return 0
	}
	return part.tokens
}

// fetchableTokens returns the tokens of the part that another server can fetch now.
func (c *serverCache) fetchableTokens(now clock.Millis, key uint64) int64 {
	if part := c.parts[key]; !part.confirmed && now < part.readyAt {
		return 0
	}
	return c.cachedTokens(now, key)
}

// recentlyUsedTokens returns the tokens of the part if it was used within
// recentUseWindow, so that the server is assumed not to have evicted it since its
// latest report.
func (c *serverCache) recentlyUsedTokens(now clock.Millis, key uint64) int64 {
	if part := c.parts[key]; now.Since(part.lastUsed) <= recentUseWindow {
		return part.tokens
	}
	return 0
}

// confirmedTokens returns the tokens of the part if the server has reported it.
func (c *serverCache) confirmedTokens(_ clock.Millis, key uint64) int64 {
	if part := c.parts[key]; part.confirmed {
		return part.tokens
	}
	return 0
}

// recordSent records that the part is sent to the server, which will have prefilled it
// at readyAt, and evicts parts above the capacity.
func (c *serverCache) recordSent(now, readyAt clock.Millis, key uint64, tokens int64) {
	before := c.parts[key].tokens
	c.touch(now, key, tokens)
	part, ok := c.parts[key]
	if !ok {
		return // It alone exceeds the capacity.
	}
	part.lastSent = now
	if before < tokens {
		part.readyAt, part.confirmed = readyAt, false
	}
	c.parts[key] = part
}

// touch makes the part the most recently used one.
func (c *serverCache) touch(now clock.Millis, key uint64, tokens int64) {
	c.useCount++
	part := c.parts[key]
	c.tokens += tokens - part.tokens
	part.tokens, part.useNumber, part.lastUsed = tokens, c.useCount, now
	c.parts[key] = part
	c.queue = append(c.queue, partUse{key: key, number: c.useCount})
	c.evict()
}

// evict drops the least recently used parts above the capacity, and outdated uses.
func (c *serverCache) evict() {
	if len(c.queue) > 4*len(c.parts)+16 {
		c.queue = slices.DeleteFunc(c.queue, func(u partUse) bool { return c.parts[u.key].useNumber != u.number })
	}
	for len(c.queue) > 0 && c.tokens > c.capacity {
		oldest := c.queue[0]
		c.queue = c.queue[1:]
		if part, ok := c.parts[oldest.key]; ok && part.useNumber == oldest.number {
			c.tokens -= part.tokens
			delete(c.parts, oldest.key)
		}
	}
}
