package recorder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Step is what a Recorder wants done next.
type Step interface{ isStep() }

// CallPlatform wants a call to the platform; its answer goes to Answered.
type CallPlatform struct{ Op objectstore.Op }

// Pause wants Resumed to be called at Until.
type Pause struct{ Until clock.Millis }

// Proceed means that the record is written: the call may be dispatched.
type Proceed struct{}

// AlreadyRecorded means that another attempt has recorded the call.
type AlreadyRecorded struct{ Record Record }

// Abandoned means that the record could not be written in time: the call must
// not be dispatched.
type Abandoned struct{}

// Settled means that the end state is recorded.
type Settled struct{}

// Unsettled means that the end state could not be recorded in time, or that somebody
// else has resolved the call.
type Unsettled struct{}

func (CallPlatform) isStep()    {}
func (Pause) isStep()           {}
func (Proceed) isStep()         {}
func (AlreadyRecorded) isStep() {}
func (Abandoned) isStep()       {}
func (Settled) isStep()         {}
func (Unsettled) isStep()       {}
