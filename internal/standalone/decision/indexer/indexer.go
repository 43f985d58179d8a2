// Package indexer estimates which chunks of prompts the engines have cached: the
// ones that were sent to an engine most recently, up to its estimated capacity.
//
// The estimate works without reports from the engines. If an engine reports fewer
// cached tokens than estimated, its estimated capacity is reduced.
//
// # Usage
//
//	index := indexer.New()
//	tokens := index.CachedTokens("engine-1", chain)
//	index.RecordPrompt("engine-1", chain)
//	index.Correct("engine-1", estimated, actual)
package indexer

import "github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"

// Limits of the estimate, in chunks.
const (
	// initialCapacity is the estimated capacity of a new engine. Its responses move
	// the estimate between minCapacity and maxCapacity.
	initialCapacity = 1024
	maxCapacity     = 2048
	minCapacity     = 16
	// maxChunks is the maximum number of chunks of all engines together.
	maxChunks = 500_000
)

// Indexer has the estimates for many engines. It is not safe for concurrent use.
type Indexer struct {
	engines map[string]*engine
}

// engine is the LRU estimate for one engine's cache.
type engine struct {
	capacity int
	lastUse  map[uint64]uint64 // lastUse is the sequence number of a chunk's last use.
	uses     []use             // uses has the uses in order, including superseded ones.
	useCount uint64
}

// use is one use of a chunk.
type use struct {
	chunk    uint64
	sequence uint64
}

// New returns an Indexer without engines.
func New() *Indexer {
	return &Indexer{engines: map[string]*engine{}}
}

// CachedTokens returns the number of tokens at the start of the chain that the
// engine is estimated to have cached.
func (x *Indexer) CachedTokens(name string, chain []uint64) int64 {
	known, ok := x.engines[name]
	if !ok {
		return 0
	}
	for i, chunk := range chain {
		if _, ok := known.lastUse[chunk]; !ok {
			return int64(i) * chunker.ChunkTokens
		}
	}
	return int64(len(chain)) * chunker.ChunkTokens
}

// RecordPrompt records that a prompt with the chain was sent to the engine.
func (x *Indexer) RecordPrompt(name string, chain []uint64) {
	known, ok := x.engines[name]
	if !ok {
		known = &engine{capacity: initialCapacity, lastUse: map[uint64]uint64{}}
		x.engines[name] = known
	}
	for i := len(chain) - 1; i >= 0; i-- {
		known.touch(chain[i])
	}
	known.evict(x.maxChunksPerEngine())
}

// maxChunksPerEngine returns the maximum number of chunks kept for one engine.
func (x *Indexer) maxChunksPerEngine() int {
	return maxChunks / max(1, len(x.engines))
}

// Correct adjusts the estimated capacity after the engine reported how many tokens
// of a prompt it had cached. The capacity shrinks when they were fewer than estimated
// and else grows by one chunk.
func (x *Indexer) Correct(name string, estimated, actual int64) {
	known, ok := x.engines[name]
	if !ok {
		return
	}
	if actual < estimated {
		known.capacity = max(minCapacity, min(known.capacity, len(known.lastUse))*3/4)
	} else {
		known.capacity = min(maxCapacity, known.capacity+1)
	}
	known.evict(x.maxChunksPerEngine())
}

// RemoveEngine removes the engine's chunks, after it restarted with an empty cache
// or is gone.
func (x *Indexer) RemoveEngine(name string) {
	delete(x.engines, name)
}

func (e *engine) touch(chunk uint64) {
	e.useCount++
	e.lastUse[chunk] = e.useCount
	e.uses = append(e.uses, use{chunk: chunk, sequence: e.useCount})
}

// evict removes the least recently used chunks above the capacity and above
// maxForEngine, and superseded uses at the front of the queue. It also removes chunks
// while the queue is longer than 4 times that limit.
func (e *engine) evict(maxForEngine int) {
	limit := min(e.capacity, maxForEngine)
	for len(e.uses) > 0 {
		oldest := e.uses[0]
		current := e.lastUse[oldest.chunk] == oldest.sequence
		if current && len(e.lastUse) <= limit && len(e.uses) <= 4*limit {
			return
		}
		if current {
			delete(e.lastUse, oldest.chunk)
		}
		e.uses = e.uses[1:]
	}
}
