package recorder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Step is the next step of a Recorder.
type Step interface{ isStep() }

// CallPlatform requests a call to the platform; pass the response to HandleResponse.
type CallPlatform struct{ Op objectstore.Op }

// Pause requests that Resume is called at Until.
type Pause struct{ Until clock.Millis }

// Proceed means that the record is written and the call may be dispatched.
type Proceed struct{}

// AlreadyRecorded means that another attempt has recorded the call.
type AlreadyRecorded struct{ Record Record }

// Abandoned means that the record could not be written before the deadline: the
// call must not be dispatched.
type Abandoned struct{}

// Settled means that the end state is written.
type Settled struct{}

// Unsettled means that the end state could not be written before the deadline, or
// that the record has changed, such as when an operator has resolved the call.
type Unsettled struct{}

func (CallPlatform) isStep()    {}
func (Pause) isStep()           {}
func (Proceed) isStep()         {}
func (AlreadyRecorded) isStep() {}
func (Abandoned) isStep()       {}
func (Settled) isStep()         {}
func (Unsettled) isStep()       {}
