package applier

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Step is the next step of an Applier.
type Step interface{ isStep() }

// CallPlatform requests a call to the platform; pass the response to HandleResponse.
type CallPlatform struct{ Op objectstore.Op }

// Pause requests that Resume is called at Until.
type Pause struct{ Until clock.Millis }

// Accepted means that the change is stored in the platform.
type Accepted struct {
	Manifest sharder.Manifest
	// Values are the encoded shards that were known, read or written, by digest. The
	// manifest may list others if later changes are stored already.
	Values map[string][]byte
}

// Conflict means that another operator's change was stored first.
type Conflict struct{ Revision int64 }

// Rejected means that the change does not fit the configuration.
type Rejected struct {
	NotFound bool
	Message  string
}

// TimedOut means that the deadline has passed. MayTakeEffect reports that a write
// of the manifest was sent, so the change may have taken effect or may still do so.
type TimedOut struct{ MayTakeEffect bool }

func (CallPlatform) isStep() {}
func (Pause) isStep()        {}
func (Accepted) isStep()     {}
func (Conflict) isStep()     {}
func (Rejected) isStep()     {}
func (TimedOut) isStep()     {}
