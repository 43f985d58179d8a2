// Package recorder records a call that must not be repeated, so that it runs at
// most once across all instances.
//
// Before the call is dispatched, its record is created on the condition that none
// exists. If the platform's response is lost, the object is read back: the random
// identifier of the attempt shows whose write took effect. After the call, the
// end state is written to the record, with retries until a deadline.
//
// # Usage
//
//	call := recorder.New(record, deadline)
//	call, step := call.Begin(now)
//	call, step = call.HandleResponse(now, platformResponse) // for each CallPlatform
//	call, step = call.Settle(recorder.StateDone, response, deadline)
package recorder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// retryDelay is the time between two calls to a platform that fails.
const retryDelay = 50 * clock.Millisecond

type phase int

const (
	phaseCreate phase = iota // phaseCreate writes the record in the state attempted.
	phaseCreateReadBack
	phaseSettle // phaseSettle writes the end state.
	phaseSettleReadBack
)

// Recorder is the state of recording one call. Values are immutable.
type Recorder struct {
	record   Record
	version  int64
	phase    phase
	deadline clock.Millis
	// mayExist is set when an earlier write without a response may have taken effect.
	mayExist bool
}

// New returns a Recorder for the attempt of the record. It abandons the call when
// the record has not been written by the deadline.
func New(record Record, deadline clock.Millis) Recorder {
	record.State = StateAttempted
	return Recorder{record: record, deadline: deadline, version: objectstore.IfAbsent}
}

// Record returns the record that this attempt last tried to write.
func (r Recorder) Record() Record { return r.record }

// MayExist reports whether the platform may have a record of this attempt.
func (r Recorder) MayExist() bool {
	return r.mayExist || r.version != objectstore.IfAbsent
}

// Begin returns the first step.
func (r Recorder) Begin(clock.Millis) (Recorder, Step) {
	return r, r.put()
}

// Settle starts to write the end state. If the version of the stored record is unknown,
// it reads the object first. It gives up after the deadline.
func (r Recorder) Settle(state State, response Response, deadline clock.Millis) (Recorder, Step) {
	r.record = r.record.WithEnd(state, response)
	r.deadline = deadline
	if r.version == objectstore.IfAbsent {
		r.phase = phaseSettleReadBack
		return r, r.get()
	}
	r.phase = phaseSettle
	return r, r.put()
}

// Resume returns the step after a Pause.
func (r Recorder) Resume(clock.Millis) (Recorder, Step) {
	if r.phase == phaseCreateReadBack || r.phase == phaseSettleReadBack {
		return r, r.get()
	}
	return r, r.put()
}

// HandleResponse returns the step after the response to a CallPlatform.
func (r Recorder) HandleResponse(now clock.Millis, response objectstore.Response) (Recorder, Step) {
	switch r.phase {
	case phaseCreate:
		return r.handleCreate(now, response)
	case phaseCreateReadBack:
		return r.handleCreateReadBack(now, response)
	case phaseSettle:
		return r.handleSettle(now, response)
	default:
		return r.handleSettleReadBack(now, response)
	}
}

func (r Recorder) handleCreate(now clock.Millis, response objectstore.Response) (Recorder, Step) {
	switch response.Outcome {
	case objectstore.Done:
		r.version = response.Version
		return r, Proceed{}
	case objectstore.Refused:
		return r.pauseOrAbandon(now)
	case objectstore.Unknown:
		r.mayExist = true
	}
	r.phase = phaseCreateReadBack
	return r.readBackOrAbandon(now, response)
}

// readBackOrAbandon reads the object back at once after a conflict, and after a
// pause when the platform did not respond.
func (r Recorder) readBackOrAbandon(now clock.Millis, response objectstore.Response) (Recorder, Step) {
	if response.Outcome == objectstore.Conflict {
		return r, r.get()
	}
	return r.pauseOrAbandon(now)
}

func (r Recorder) handleCreateReadBack(now clock.Millis, response objectstore.Response) (Recorder, Step) {
	if response.Failed() {
		return r.pauseOrAbandon(now)
	}
	if response.Outcome == objectstore.NotFound {
		r.phase = phaseCreate
		r.version = objectstore.IfAbsent
		return r.putOrAbandon(now)
	}
	found, err := DecodeRecord(response.Value)
	if err != nil {
		return r, AlreadyRecorded{Record: Record{State: StateUnknown, Fingerprint: r.record.Fingerprint}}
	}
	return r.compareExisting(now, response.Version, found)
}

func (r Recorder) compareExisting(now clock.Millis, version int64, found Record) (Recorder, Step) {
	if found.Attempt == r.record.Attempt {
		r.version = version
		return r, Proceed{}
	}
	if found.State == StateNotRun && found.Fingerprint == r.record.Fingerprint {
		r.phase = phaseCreate
		r.version = version
		return r.putOrAbandon(now)
	}
	r.mayExist = false
	r.version = objectstore.IfAbsent
	return r, AlreadyRecorded{Record: found}
}

func (r Recorder) handleSettle(now clock.Millis, response objectstore.Response) (Recorder, Step) {
	switch response.Outcome {
	case objectstore.Done:
		r.version = response.Version
		return r, Settled{}
	case objectstore.Refused:
		return r.pauseOrGiveUp(now)
	case objectstore.Conflict:
		r.phase = phaseSettleReadBack
		return r, r.get()
	default:
		r.phase = phaseSettleReadBack
		return r.pauseOrGiveUp(now)
	}
}

func (r Recorder) handleSettleReadBack(now clock.Millis, response objectstore.Response) (Recorder, Step) {
	if response.Failed() {
		return r.pauseOrGiveUp(now)
	}
	if response.Outcome == objectstore.NotFound {
		return r.handleSettleNotFound(now)
	}
	found, err := DecodeRecord(response.Value)
	if err != nil || found.Attempt != r.record.Attempt {
		return r, Unsettled{}
	}
	if found.State == r.record.State {
		r.version = response.Version
		return r, Settled{}
	}
	if found.State != StateAttempted {
		return r, Unsettled{}
	}
	r.version = response.Version
	r.phase = phaseSettle
	return r, r.put()
}

// handleSettleNotFound continues settling when the record does not exist. A write
// without a response may still take effect, so the record is created in its end state.
func (r Recorder) handleSettleNotFound(now clock.Millis) (Recorder, Step) {
	r.phase = phaseSettle
	r.version = objectstore.IfAbsent
	if now >= r.deadline {
		return r, Unsettled{}
	}
	return r, r.put()
}

func (r Recorder) putOrAbandon(now clock.Millis) (Recorder, Step) {
	if now >= r.deadline {
		return r, Abandoned{}
	}
	return r, r.put()
}

func (r Recorder) pauseOrAbandon(now clock.Millis) (Recorder, Step) {
	if now.Add(retryDelay) >= r.deadline {
		return r, Abandoned{}
	}
	return r, Pause{Until: now.Add(retryDelay)}
}

func (r Recorder) pauseOrGiveUp(now clock.Millis) (Recorder, Step) {
	if now.Add(retryDelay) >= r.deadline {
		return r, Unsettled{}
	}
	return r, Pause{Until: now.Add(retryDelay)}
}

func (r Recorder) put() Step {
	return CallPlatform{Op: objectstore.Put{Name: r.name(), Value: r.record.Encode(), IfVersion: r.version}}
}

func (r Recorder) get() Step {
	return CallPlatform{Op: objectstore.Get{Name: r.name()}}
}

func (r Recorder) name() string {
	return ObjectName(r.record.Team, r.record.Key)
}
