package cachetracker

// Delta is a read result as it is broadcast in digests.
type Delta struct {
	Epoch      int64
	Since      int64
	LastChange int64
	// Changes are pairs of part key and tokens.
	Changes [][2]uint64
}

// Delta returns the result for a digest, with the changes whose key passes the filter.
func (r ReadResult) Delta(filter func(key uint64) bool) Delta {
	delta := Delta{Epoch: r.Epoch, Since: r.Since, LastChange: r.LastChange}
	for _, change := range r.Changes {
		if filter(change.Key) {
			delta.Changes = append(delta.Changes, [2]uint64{change.Key, uint64(change.Tokens)})
		}
	}
	return delta
}

// Result returns the read result that the delta was made from, with the changes that it
// carries.
func (d Delta) Result() ReadResult {
	result := ReadResult{Epoch: d.Epoch, Since: d.Since, LastChange: d.LastChange}
	for _, change := range d.Changes {
		result.Changes = append(result.Changes, Change{Key: change[0], Tokens: int64(change[1])})
	}
	return result
}
