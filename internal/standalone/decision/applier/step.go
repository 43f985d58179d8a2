package applier

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Step is what an Applier wants done next.
type Step interface{ isStep() }

// CallPlatform wants a call to the platform; its answer goes to Answered.
type CallPlatform struct{ Op objectstore.Op }

// Pause wants Resumed to be called at Until.
type Pause struct{ Until clock.Millis }

// Accepted means that the change is in the platform.
type Accepted struct {
	Manifest sharder.Manifest
	Values   map[string][]byte
}

// Conflict means that another operator's change came first.
type Conflict struct{ Revision int64 }

// Rejected means that the change does not fit the configuration.
type Rejected struct {
	NotFound bool
	Message  string
}

// TimedOut means that time is up. MayTakeEffect tells that the write of the
// manifest was sent and no answer came.
type TimedOut struct{ MayTakeEffect bool }

func (CallPlatform) isStep() {}
func (Pause) isStep()        {}
func (Accepted) isStep()     {}
func (Conflict) isStep()     {}
func (Rejected) isStep()     {}
func (TimedOut) isStep()     {}
