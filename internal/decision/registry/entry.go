package registry

import (
	"maps"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
)

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
	WeightVersions map[string]int64
	// SoftwareVersion is the version of the server's software, empty if its entry names
	// none. A stream can't go on at a server of another one.
	SoftwareVersion string
	// StartedAt is the server's start in Unix milliseconds. It differs for each start.
	StartedAt int64
	// Revision is the store's revision of the entry in the Era.
	Era      int64
	Revision int64
}

// position returns the position of the entry in the store.
func (e Entry) position() storeposition.Position {
	return storeposition.Position{Era: e.Era, Revision: e.Revision}
}

// WithWeightVersion returns the entry with another version of the model's weights.
func (e Entry) WithWeightVersion(model string, version int64) Entry {
	e.WeightVersions = maps.Clone(e.WeightVersions)
	if e.WeightVersions == nil {
		e.WeightVersions = map[string]int64{}
	}
	e.WeightVersions[model] = version
	return e
}
