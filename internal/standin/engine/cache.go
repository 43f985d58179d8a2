package engine

import "slices"

// cache is a prefix cache of a limited number of chunks; the least recently
// used one goes first.
type cache struct {
	limit int
	order []uint64 // order has the most recently used chunk last.
}

func newCache(limit int) *cache {
	return &cache{limit: limit}
}

// hit returns how many chunks at the beginning of the chain are cached.
func (c *cache) hit(chain []uint64) int64 {
	for i, chunk := range chain {
		if !slices.Contains(c.order, chunk) {
			return int64(i)
		}
	}
	return int64(len(chain))
}

// add marks the chunks as used, the first of the chain as the latest, so that
// the ends of prefixes are evicted first.
func (c *cache) add(chain []uint64) {
	for _, chunk := range slices.Backward(chain) {
		if i := slices.Index(c.order, chunk); i >= 0 {
			c.order = slices.Delete(c.order, i, i+1)
		}
		c.order = append(c.order, chunk)
	}
	if over := len(c.order) - c.limit; over > 0 {
		c.order = slices.Delete(c.order, 0, over)
	}
}
