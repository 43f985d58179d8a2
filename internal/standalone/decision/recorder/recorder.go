// Package recorder decides how a call that may not be repeated is recorded, so
// that it runs at most once over all instances.
//
// Before the dispatch, the call's record is created on condition that none
// exists. A lost answer of the platform is settled by reading back: the
// attempt's random identifier tells whose write took effect. After the call,
// the record gets its end state, tried until it is written or time is up.
//
// # Usage
//
//	call := recorder.New(record, deadline)
//	call, step := call.Begin(now)
//	call, step = call.Answered(now, answer) // for each Ask
//	call, step = call.Settle(now, recorder.StateDone, answer, deadline)
package recorder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// retryPause is the time between calls to a platform that fails.
const retryPause = 50 * clock.Millisecond

type phase int

const (
	phaseCreate phase = iota // phaseCreate writes the record in state attempted.
	phaseCreateRead
	phaseSettle // phaseSettle writes the end state.
	phaseSettleRead
)

// Recorder is the recording of one call. Values are immutable.
type Recorder struct {
	record   Record
	version  int64
	phase    phase
	deadline clock.Millis
	// mayExist tells that an earlier write without an answer may have taken
	// effect.
	mayExist bool
}

// New returns the recording of the record's attempt. It is given up when it has
// not been written by the deadline.
func New(record Record, deadline clock.Millis) Recorder {
	record.State = StateAttempted
	return Recorder{record: record, deadline: deadline, version: objectstore.IfAbsent}
}

// Record returns the record as this attempt last wanted it.
func (r Recorder) Record() Record { return r.record }

// MayExist reports whether a record of this attempt may be in the platform.
func (r Recorder) MayExist() bool {
	return r.mayExist || r.version != objectstore.IfAbsent
}

// Begin returns the first step.
func (r Recorder) Begin(clock.Millis) (Recorder, Step) {
	return r, r.put()
}

// Settle begins to record the end state. It is given up after the deadline.
func (r Recorder) Settle(state State, answer Response, deadline clock.Millis) (Recorder, Step) {
	r.record = r.record.WithEnd(state, answer)
	r.deadline = deadline
	if r.version == objectstore.IfAbsent {
		r.phase = phaseSettleRead
		return r, r.get()
	}
	r.phase = phaseSettle
	return r, r.put()
}

// Resume returns the step after a Pause.
func (r Recorder) Resume(clock.Millis) (Recorder, Step) {
	if r.phase == phaseCreateRead || r.phase == phaseSettleRead {
		return r, r.get()
	}
	return r, r.put()
}

// HandleResponse returns the step after the answer to an Ask.
func (r Recorder) HandleResponse(now clock.Millis, answer objectstore.Response) (Recorder, Step) {
	switch r.phase {
	case phaseCreate:
		return r.created(now, answer)
	case phaseCreateRead:
		return r.createdRead(now, answer)
	case phaseSettle:
		return r.settled(now, answer)
	default:
		return r.settledRead(now, answer)
	}
}

func (r Recorder) created(now clock.Millis, answer objectstore.Response) (Recorder, Step) {
	switch answer.Outcome {
	case objectstore.Done:
		r.version = answer.Version
		return r, Proceed{}
	case objectstore.Refused:
		return r.pauseOrAbandon(now)
	case objectstore.Unknown:
		r.mayExist = true
	}
	r.phase = phaseCreateRead
	return r.readOrAbandon(now, answer)
}

// readOrAbandon reads the object back at once after a conflict, and after a
// pause when the platform gave no answer.
func (r Recorder) readOrAbandon(now clock.Millis, answer objectstore.Response) (Recorder, Step) {
	if answer.Outcome == objectstore.Conflict {
		return r, r.get()
	}
	return r.pauseOrAbandon(now)
}

func (r Recorder) createdRead(now clock.Millis, answer objectstore.Response) (Recorder, Step) {
	if answer.Failed() {
		return r.pauseOrAbandon(now)
	}
	if answer.Outcome == objectstore.NotFound {
		r.phase = phaseCreate
		r.version = objectstore.IfAbsent
		return r.putOrAbandon(now)
	}
	found, err := DecodeRecord(answer.Value)
	if err != nil {
		return r, AlreadyRecorded{Record: Record{State: StateUnknown, Fingerprint: r.record.Fingerprint}}
	}
	return r.judge(now, answer.Version, found)
}

func (r Recorder) judge(now clock.Millis, version int64, found Record) (Recorder, Step) {
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

func (r Recorder) settled(now clock.Millis, answer objectstore.Response) (Recorder, Step) {
	switch answer.Outcome {
	case objectstore.Done:
		r.version = answer.Version
		return r, Settled{}
	case objectstore.Refused:
		return r.pauseOrLose(now)
	case objectstore.Conflict:
		r.phase = phaseSettleRead
		return r, r.get()
	default:
		r.phase = phaseSettleRead
		return r.pauseOrLose(now)
	}
}

func (r Recorder) settledRead(now clock.Millis, answer objectstore.Response) (Recorder, Step) {
	if answer.Failed() {
		return r.pauseOrLose(now)
	}
	if answer.Outcome == objectstore.NotFound {
		return r.settledAbsent(now)
	}
	found, err := DecodeRecord(answer.Value)
	if err != nil || found.Attempt != r.record.Attempt {
		return r, Unsettled{}
	}
	if found.State == r.record.State {
		r.version = answer.Version
		return r, Settled{}
	}
	if found.State != StateAttempted {
		return r, Unsettled{}
	}
	r.version = answer.Version
	r.phase = phaseSettle
	return r, r.put()
}

// settledAbsent ends a settling whose record was never written. A write without
// an answer may still arrive, so the absent record is written in its end state.
func (r Recorder) settledAbsent(now clock.Millis) (Recorder, Step) {
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
	if now.Add(retryPause) >= r.deadline {
		return r, Abandoned{}
	}
	return r, Pause{Until: now.Add(retryPause)}
}

func (r Recorder) pauseOrLose(now clock.Millis) (Recorder, Step) {
	if now.Add(retryPause) >= r.deadline {
		return r, Unsettled{}
	}
	return r, Pause{Until: now.Add(retryPause)}
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
