package engine

import "slices"

// cache is a prefix cache of a limited number of chunks. It evicts the least recently
// used chunk first.
type cache struct {
	limit   int
	recency []uint64 // recency lists the chunks, the most recently used one last.
}

func newCache(limit int) *cache {
	return &cache{limit: limit}
}

// cachedPrefix returns the number of leading chunks of the chain that are cached.
func (c *cache) cachedPrefix(chain []uint64) int64 {
	for i, chunk := range chain {
		if !slices.Contains(c.recency, chunk) {
			return int64(i)
		}
	}
	return int64(len(chain))
}

// add marks the chunks as used, the first of the chain as the most recent, so that the
// ends of prefixes are evicted first.
func (c *cache) add(chain []uint64) {
	for _, chunk := range slices.Backward(chain) {
		if i := slices.Index(c.recency, chunk); i >= 0 {
			c.recency = slices.Delete(c.recency, i, i+1)
		}
		c.recency = append(c.recency, chunk)
	}
	if excess := len(c.recency) - c.limit; excess > 0 {
		c.recency = slices.Delete(c.recency, 0, excess)
	}
}
