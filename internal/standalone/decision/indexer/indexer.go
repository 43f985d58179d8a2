// Package indexer estimates which chunks of prompts the engines have cached:
// those that were sent there lately, as many as the engine seems to hold.
//
// The estimate needs no word from the engines, and is corrected by it: an engine
// that had less than was estimated is taken to hold less.
//
// # Usage
//
//	index := indexer.New()
//	tokens := index.Hit("engine-1", chain)
//	index.Placed("engine-1", chain)
//	index.Corrected("engine-1", estimated, actual)
package indexer

import "github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"

// Bounds of the estimate, in chunks.
const (
	// firstCapacity is what an engine is taken to hold at first; by its answers
	// that moves between the other two.
	firstCapacity    = 1024
	greatestCapacity = 2048
	leastCapacity    = 16
	// maxChunks bounds the chunks of all engines together.
	maxChunks = 500_000
)

// Indexer is the estimate for many engines. It is not safe for concurrent use.
type Indexer struct {
	engines map[string]*engine
}

// engine is the chunks of one engine, the least recently used first.
type engine struct {
	capacity int
	used     map[uint64]uint64 // used is when a chunk was last used, by a count.
	queue    []use             // queue has the uses in order, old ones included.
	clock    uint64
}

// use is one use of a chunk.
type use struct {
	chunk uint64
	at    uint64
}

// New returns an Indexer without engines.
func New() *Indexer {
	return &Indexer{engines: map[string]*engine{}}
}

// CachedTokens returns the tokens at the beginning of the chain that the engine is
// estimated to have.
func (x *Indexer) CachedTokens(name string, chain []uint64) int64 {
	known, ok := x.engines[name]
	if !ok {
		return 0
	}
	for i, chunk := range chain {
		if _, ok := known.used[chunk]; !ok {
			return int64(i) * chunker.ChunkTokens
		}
	}
	return int64(len(chain)) * chunker.ChunkTokens
}

// RecordPrompt notes that a prompt with the chain was sent to the engine.
func (x *Indexer) RecordPrompt(name string, chain []uint64) {
	known, ok := x.engines[name]
	if !ok {
		known = &engine{capacity: firstCapacity, used: map[uint64]uint64{}}
		x.engines[name] = known
	}
	for i := len(chain) - 1; i >= 0; i-- {
		known.use(chain[i])
	}
	known.evict(x.share())
}

// share returns the most chunks that one engine may have here.
func (x *Indexer) share() int {
	return maxChunks / max(1, len(x.engines))
}

// Correct notes how many tokens of a prompt the engine really had, where more
// or fewer were estimated.
func (x *Indexer) Correct(name string, estimated, actual int64) {
	known, ok := x.engines[name]
	if !ok {
		return
	}
	if actual < estimated {
		known.capacity = max(leastCapacity, min(known.capacity, len(known.used))*3/4)
	} else {
		known.capacity = min(greatestCapacity, known.capacity+1)
	}
	known.evict(x.share())
}

// RemoveEngine drops the engine's chunks: it has come back empty, or is gone.
func (x *Indexer) RemoveEngine(name string) {
	delete(x.engines, name)
}

func (e *engine) use(chunk uint64) {
	e.clock++
	e.used[chunk] = e.clock
	e.queue = append(e.queue, use{chunk: chunk, at: e.clock})
}

// evict drops the least recently used chunks above the capacity and the most that
// the engine may have, and the queue's uses that later ones have replaced.
func (e *engine) evict(most int) {
	limit := min(e.capacity, most)
	for len(e.queue) > 0 {
		oldest := e.queue[0]
		current := e.used[oldest.chunk] == oldest.at
		if current && len(e.used) <= limit && len(e.queue) <= 4*limit {
			return
		}
		if current {
			delete(e.used, oldest.chunk)
		}
		e.queue = e.queue[1:]
	}
}
