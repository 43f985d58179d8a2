package placer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// unknownMemory is the tokens that a server of unknown memory is taken to keep.
const unknownMemory = 50_000

// readTime is how long after a part was first sent to a server another server can
// fetch it there: about the reading of a long prompt.
const readTime = 150 * clock.Millisecond

// kept is the parts that one server is taken to have, the least recently used
// dropped first.
type kept struct {
	parts  map[uint64]keptPart
	queue  []keptUse // queue has the uses in order, outdated ones included.
	memory int64     // memory is what the server can keep, in tokens.
	tokens int64
	clock  uint64
}

type keptPart struct {
	tokens int64
	used   uint64
	since  clock.Millis // since is when the part was first sent to the server.
}

type keptUse struct {
	key  uint64
	used uint64
}

func newKept() *kept {
	return &kept{parts: map[uint64]keptPart{}, memory: unknownMemory}
}

func keyOf(salt, part string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + part)
}

func (k *kept) has(key uint64) bool {
	_, ok := k.parts[key]
	return ok
}

// readable reports whether another server can fetch the part by now.
func (k *kept) readable(now clock.Millis, key uint64) bool {
	part, ok := k.parts[key]
	return ok && now.Since(part.since) >= readTime
}

// use notes that the server reads or uses the part, and drops what no longer fits
// into its memory.
func (k *kept) use(now clock.Millis, key uint64, tokens int64) {
	k.clock++
	known, ok := k.parts[key]
	if !ok {
		known.since = now
	}
	k.tokens += tokens - known.tokens
	known.tokens, known.used = tokens, k.clock
	k.parts[key] = known
	k.queue = append(k.queue, keptUse{key: key, used: k.clock})
	k.evict()
}

// evict drops the least recently used parts above the memory, and outdated uses.
func (k *kept) evict() {
	if len(k.queue) > 4*len(k.parts)+16 {
		k.queue = slices.DeleteFunc(k.queue, func(u keptUse) bool { return k.parts[u.key].used != u.used })
	}
	for len(k.queue) > 0 && k.tokens > k.memory {
		oldest := k.queue[0]
		k.queue = k.queue[1:]
		if part, ok := k.parts[oldest.key]; ok && part.used == oldest.used {
			k.tokens -= part.tokens
			delete(k.parts, oldest.key)
		}
	}
}
