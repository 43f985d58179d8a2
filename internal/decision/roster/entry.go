package roster

import "maps"

// Entry is a backend server's entry in the platform's store, written by the server.
type Entry struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Draining is set if the server will stop soon and accepts no new requests.
	Draining bool
	// WeightVersions are the versions of the loaded weights by model.
	Weights map[string]int64
	// StartedAt is the server's start in Unix milliseconds. It differs for each start.
	Born int64
	// Revision is the store's revision of the entry.
	Revision int64
}

// WithWeightVersion returns the entry with another version of the model's weights.
func (e Entry) WithWeights(model string, version int64) Entry {
	e.Weights = maps.Clone(e.Weights)
	if e.Weights == nil {
		e.Weights = map[string]int64{}
	}
	e.Weights[model] = version
	return e
}
