package cachetracker

// Delta is a read result as digests carry it.
type News struct {
	Epoch int64 `json:"epoch"`
	Since int64 `json:"since"`
	Next  int64 `json:"next"`
	// Changes are pairs of part key and tokens.
	Changes [][2]uint64 `json:"changes,omitempty"`
}

// Delta returns the result for a digest, with the changes whose key passes the filter.
func (r Reading) News(filter func(key uint64) bool) News {
	delta := News{Epoch: r.Epoch, Since: r.Since, Next: r.Next}
	for _, change := range r.Changes {
		if filter(change.Key) {
			delta.Changes = append(delta.Changes, [2]uint64{change.Key, uint64(change.Tokens)})
		}
	}
	return delta
}

// Result returns the read result that the delta was made from, with the changes that it
// carries.
func (d News) Reading() Reading {
	result := Reading{Epoch: d.Epoch, Since: d.Since, Next: d.Next}
	for _, change := range d.Changes {
		result.Changes = append(result.Changes, Change{Key: change[0], Tokens: int64(change[1])})
	}
	return result
}
