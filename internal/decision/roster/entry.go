package roster

import "maps"

// Entry is what a backend server says of itself in the platform's store.
type Entry struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Draining tells that the server will stop soon and wants no new requests.
	Draining bool
	// Weights are the versions of the weights by model.
	Weights map[string]int64
	// Born tells one start of the server from another.
	Born int64
	// Revision is the store's revision of the entry.
	Revision int64
}

// WithWeights returns the entry with another version of the model's weights.
func (e Entry) WithWeights(model string, version int64) Entry {
	e.Weights = maps.Clone(e.Weights)
	if e.Weights == nil {
		e.Weights = map[string]int64{}
	}
	e.Weights[model] = version
	return e
}
