package applier

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Step is what an Applier wants done next.
type Step interface{ isStep() }

// Ask wants a call to the platform; its answer goes to Answered.
type Ask struct{ Op objectstore.Op }

// Pause wants Resumed to be called at Until.
type Pause struct{ Until clock.Millis }

// Accepted means that the change is in the platform.
type Accepted struct {
	Manifest sharder.Manifest
	Values   map[string][]byte
}

// Conflicted means that another operator's change came first.
type Conflicted struct{ Revision int64 }

// Rejected means that the change does not fit the configuration.
type Rejected struct {
	NotFound bool
	Message  string
}

// GivenUp means that time is up. MayTakeEffect tells that the write of the
// manifest was sent and no answer came.
type GivenUp struct{ MayTakeEffect bool }

func (Ask) isStep()        {}
func (Pause) isStep()      {}
func (Accepted) isStep()   {}
func (Conflicted) isStep() {}
func (Rejected) isStep()   {}
func (GivenUp) isStep()    {}
