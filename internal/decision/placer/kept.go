package placer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// unknownMemory is the tokens that a server of unknown memory is taken to keep.
const unknownMemory = 50_000

// readTime is the least time after which a part that was sent to a server can be
// fetched there: about the reading of a long prompt.
const readTime = 150 * clock.Millisecond

// kept is the parts that one server is taken to have, the least recently used
// dropped first.
type kept struct {
	parts  map[uint64]keptPart
	queue  []keptUse // queue has the uses in order, outdated ones included.
	memory int64     // memory is the tokens that count as kept at most.
	full   int64     // full is the server's whole memory in tokens.
	tokens int64
	clock  uint64
	// seenAt is when the server itself last told what it has; 0 for never.
	seenAt clock.Millis
}

type keptPart struct {
	tokens int64
	used   uint64
	ready  clock.Millis // ready is when the server is expected to have read it.
	sent   clock.Millis // sent is when it was last sent there; 0 for never.
	usedAt clock.Millis // usedAt is when it was last sent there or stored there.
	sure   bool         // sure tells that the server itself said that it has it.
}

type keptUse struct {
	key  uint64
	used uint64
}

func newKept() *kept {
	return &kept{parts: map[uint64]keptPart{}, memory: unknownMemory, full: unknownMemory}
}

// seen reports whether the server itself tells what it drops.
func (k *kept) seen(now clock.Millis) bool {
	return k.seenAt > 0 && now.Since(k.seenAt) < seenFor
}

func keyOf(salt, part string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + part)
}

// has returns the tokens that the server has, or will have, of the part.
func (k *kept) has(now clock.Millis, key uint64) int64 {
	part, ok := k.parts[key]
	if !ok || (!part.sure && k.seen(now) && now.Since(part.sent) > unheardFor) {
		return 0
	}
	return part.tokens
}

// readable returns the tokens of the part that another server can fetch by now.
func (k *kept) readable(now clock.Millis, key uint64) int64 {
	if part := k.parts[key]; !part.sure && now < part.ready {
		return 0
	}
	return k.has(now, key)
}

// fresh returns the tokens of the part if it was used so lately that the server has
// not dropped it since it was last heard of.
func (k *kept) fresh(now clock.Millis, key uint64) int64 {
	if part := k.parts[key]; now.Since(part.usedAt) <= freshFor {
		return part.tokens
	}
	return 0
}

// sure returns the tokens of the part that the server itself said it has.
func (k *kept) sure(_ clock.Millis, key uint64) int64 {
	if part := k.parts[key]; part.sure {
		return part.tokens
	}
	return 0
}

// use notes that the part is sent to the server, which will have read it at ready, and
// drops what no longer fits into its memory.
func (k *kept) use(now, ready clock.Millis, key uint64, tokens int64) {
	before := k.parts[key].tokens
	k.touch(now, key, tokens)
	part, ok := k.parts[key]
	if !ok {
		return // It alone is larger than the memory.
	}
	part.sent = now
	if before < tokens {
		part.ready, part.sure = ready, false
	}
	k.parts[key] = part
}

// touch makes the part the latest one used.
func (k *kept) touch(now clock.Millis, key uint64, tokens int64) {
	k.clock++
	known := k.parts[key]
	k.tokens += tokens - known.tokens
	known.tokens, known.used, known.usedAt = tokens, k.clock, now
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
