package cachetracker

// News is a Reading as digests carry it.
type News struct {
	Epoch int64 `json:"epoch"`
	Since int64 `json:"since"`
	Next  int64 `json:"next"`
	// Changes are keys and tokens.
	Changes [][2]uint64 `json:"changes,omitempty"`
}

// News returns the reading for a digest, with the changes that wanted picks.
func (r Reading) News(wanted func(key uint64) bool) News {
	news := News{Epoch: r.Epoch, Since: r.Since, Next: r.Next}
	for _, change := range r.Changes {
		if wanted(change.Key) {
			news.Changes = append(news.Changes, [2]uint64{change.Key, uint64(change.Tokens)})
		}
	}
	return news
}

// Reading returns what the digest told.
func (n News) Reading() Reading {
	reading := Reading{Epoch: n.Epoch, Since: n.Since, Next: n.Next}
	for _, change := range n.Changes {
		reading.Changes = append(reading.Changes, Change{Key: change[0], Tokens: int64(change[1])})
	}
	return reading
}
