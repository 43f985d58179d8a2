package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// settleTimeout limits the recording of a call's end state.
const settleTimeout = 2 * clock.Minute

// settlement is the background write of a call record's end state, independent of
// the caller's response.
type settlement struct {
	recorder recorder.Recorder
	request  string
}

// recordOrDispatch continues after the tokens are acquired: it records a call that
// may not be repeated, and dispatches any other.
func (r *Router) recordOrDispatch(f *flight) {
	if f.route.Repeatable {
		r.dispatch(f)
		return
	}
	f.stage = stageRecording
	f.recorder = recorder.New(recorder.Record{
		Team:        f.team.Name,
		Key:         f.request.IdempotencyKey,
		Fingerprint: f.request.Fingerprint,
		Attempt:     r.ids.NewID("c"),
		Instance:    r.identity(),
		Route:       f.route.Name,
		Request:     f.id(),
	}, r.now.Add(r.settings.RecordTimeout))
	rec, step := f.recorder.Begin(r.now)
	f.recorder = rec
	r.applyRecordStep(f, step)
}

func (r *Router) handleRecordResponse(request string, response objectstore.Response) {
	f, ok := r.flights[request]
	if !ok {
		return
	}
	rec, step := f.recorder.HandleResponse(r.now, response)
	f.recorder = rec
	r.applyRecordStep(f, step)
}

func (r *Router) resumeRecording(request string) {
	f, ok := r.flights[request]
	if !ok {
		return
	}
	rec, step := f.recorder.Resume(r.now)
	f.recorder = rec
	r.applyRecordStep(f, step)
}

func (r *Router) applyRecordStep(f *flight, step recorder.Step) {
	switch step := step.(type) {
	case recorder.CallPlatform:
		r.callPlatform(recordCall{request: f.id()}, step.Op)
	case recorder.Pause:
		r.pauseRecording(f, step)
	case recorder.Proceed:
		r.dispatchRecorded(f)
	case recorder.AlreadyRecorded:
		r.respondFromRecord(f, step.Record)
	case recorder.Abandoned:
		r.refuseUnrecorded(f)
	case recorder.Settled, recorder.Unsettled:
		r.respondSettled(f, step)
	}
}

// pauseRecording handles a pause before the next write of a call record. Before the
// dispatch, the request waits for the write. Afterwards, the caller gets the response
// at once and the settlement continues in the background.
func (r *Router) pauseRecording(f *flight, pause recorder.Pause) {
	if f.stage == stageRecording {
		r.scheduleAt(pause.Until, recordTimer{request: f.id()})
		return
	}
	r.continueSettling(f.id(), f.recorder, pause)
	r.respond(f)
}

func (r *Router) dispatchRecorded(f *flight) {
	r.log(eventlog.New(eventlog.CallRecorded, f.id()).With("attempt", f.recorder.Record().Attempt))
	if f.callerDisconnected {
		r.settleNotRun(f)
		r.refundAll(f)
		r.cancelRequest(f)
		return
	}
	r.dispatch(f)
}

func (r *Router) refuseUnrecorded(f *flight) {
	r.refundAll(f)
	if f.recorder.MayExist() {
		r.settleNotRun(f)
	}
	refusal := action.NewRefusal(action.StatusServiceUnavailable, action.CodePlatformFailed, "the call could not be recorded; it was not run")
	r.refuse(f, refusal.WithRetryAfter(defaultRetryAfter))
}

// respondFromRecord responds to a request whose call was already recorded by
// another attempt.
func (r *Router) respondFromRecord(f *flight, record recorder.Record) {
	r.refundAll(f)
	r.log(eventlog.New(eventlog.CallFound, f.id()).With("state", record.State).With("by", record.Request))
	if record.Fingerprint != f.request.Fingerprint {
		r.refuse(f, action.NewRefusal(action.StatusUnprocessable, action.CodeIdempotencyKeyReused, "the Idempotency-Key was used for another request").WithMayHaveRun())
		return
	}
	switch {
	case record.State == recorder.StateDone:
		r.replay(f, record.Response)
	case record.State == recorder.StateAttempted && r.mayBeRunning(record):
		refusal := action.NewRefusal(action.StatusConflict, action.CodeInProgress, "the call with this Idempotency-Key is still running").WithMayHaveRun()
		r.refuse(f, refusal.WithRetryAfter(defaultRetryAfter))
	default:
		r.refuse(f, unknownOutcomeRefusal())
	}
}

func unknownOutcomeRefusal() action.Refusal {
	refusal := action.NewRefusal(action.StatusConflict, action.CodeOutcomeUnknown, "it is not known whether the call ran; it will not be run again until an operator has resolved it")
	return refusal.WithMayHaveRun()
}

// mayBeRunning reports whether the recorded attempt may still be running.
func (r *Router) mayBeRunning(record recorder.Record) bool {
	if record.Instance != r.identity() {
		return r.view.IdentityAlive(r.now, record.Instance)
	}
	recorded, ok := r.flights[record.Request]
	if ok && recorded.recorder.Record().Attempt == record.Attempt {
		return true
	}
	_, ok = r.settling[record.Attempt]
	return ok
}

func (r *Router) replay(f *flight, response recorder.Response) {
	if response.BodyOmitted {
		refusal := action.NewRefusal(action.StatusConflict, action.CodeResponseNotKept, "the call has run; its answer was too long to be kept")
		r.refuse(f, refusal.WithMayHaveRun())
		return
	}
	r.log(eventlog.New(eventlog.RequestReplayed, f.id()).With("status", response.Status))
	r.emit(action.Respond{Request: f.id(), Response: response, Replayed: true})
	r.removeFlight(f)
}

// settleResponse records the response of a call before it is sent to the caller.
func (r *Router) settleResponse(f *flight, state recorder.State) {
	f.stage = stageSettling
	rec, step := f.recorder.Settle(state, f.response, r.now.Add(settleTimeout))
	f.recorder = rec
	r.applyRecordStep(f, step)
}

func (r *Router) respondSettled(f *flight, step recorder.Step) {
	r.logSettled(f.id(), f.recorder, step)
	r.respond(f)
}

// settleNotRun records in the background that a call was not run.
func (r *Router) settleNotRun(f *flight) {
	r.settleInBackground(f, recorder.StateNotRun)
}

func (r *Router) settleInBackground(f *flight, state recorder.State) {
	rec, step := f.recorder.Settle(state, recorder.Response{}, r.now.Add(settleTimeout))
	r.continueSettling(f.id(), rec, step)
}

// continueSettling continues a settlement independently of its flight. If there are
// too many settlements, the record stays as it is.
func (r *Router) continueSettling(request string, rec recorder.Recorder, step recorder.Step) {
	if len(r.settling) >= maxSettling {
		r.logSettled(request, rec, recorder.Unsettled{})
		return
	}
	attempt := rec.Record().Attempt
	r.settling[attempt] = &settlement{recorder: rec, request: request}
	r.applySettleStep(attempt, step)
}

func (r *Router) handleSettleResponse(attempt string, response objectstore.Response) {
	settlement, ok := r.settling[attempt]
	if !ok {
		return
	}
	rec, step := settlement.recorder.HandleResponse(r.now, response)
	settlement.recorder = rec
	r.applySettleStep(attempt, step)
}

func (r *Router) resumeSettling(attempt string) {
	settlement, ok := r.settling[attempt]
	if !ok {
		return
	}
	rec, step := settlement.recorder.Resume(r.now)
	settlement.recorder = rec
	r.applySettleStep(attempt, step)
}

func (r *Router) applySettleStep(attempt string, step recorder.Step) {
	switch step := step.(type) {
	case recorder.CallPlatform:
		r.callPlatform(settleCall{attempt: attempt}, step.Op)
	case recorder.Pause:
		r.scheduleAt(step.Until, settleTimer{attempt: attempt})
	default:
		settlement := r.settling[attempt]
		delete(r.settling, attempt)
		r.logSettled(settlement.request, settlement.recorder, step)
	}
}

func (r *Router) logSettled(request string, rec recorder.Recorder, step recorder.Step) {
	number := eventlog.CallSettled
	if _, ok := step.(recorder.Unsettled); ok {
		number = eventlog.CallUnsettled
	}
	r.log(eventlog.New(number, request).With("state", rec.Record().State).With("attempt", rec.Record().Attempt))
}
