package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// settleTimeout bounds the recording of a call's end state.
const settleTimeout = 2 * clock.Minute

// settling is a call record that gets its end state after the caller has its
// answer.
type settling struct {
	call    recorder.Recorder
	request string
}

// tokensTaken goes on after the draws: with the record of a call that may not
// be repeated, else with the choice of a server.
func (r *Router) tokensTaken(f *flight) {
	if f.route.Repeatable {
		r.dispatch(f)
		return
	}
	f.stage = stageRecording
	f.call = recorder.New(recorder.Record{
		Team:        f.team.Name,
		Key:         f.request.IdempotencyKey,
		Fingerprint: f.request.Fingerprint,
		Attempt:     r.ids.ID("c"),
		Instance:    r.identity(),
		Route:       f.route.Name,
		Request:     f.id(),
	}, r.now.Add(r.settings.RecordTimeout))
	call, step := f.call.Begin(r.now)
	f.call = call
	r.recordStep(f, step)
}

func (r *Router) recordAnswered(request string, answer objectstore.Answer) {
	f, ok := r.flights[request]
	if !ok {
		return
	}
	call, step := f.call.Answered(r.now, answer)
	f.call = call
	r.recordStep(f, step)
}

func (r *Router) recordResumed(request string) {
	f, ok := r.flights[request]
	if !ok {
		return
	}
	call, step := f.call.Resumed(r.now)
	f.call = call
	r.recordStep(f, step)
}

func (r *Router) recordStep(f *flight, step recorder.Step) {
	switch step := step.(type) {
	case recorder.Ask:
		r.call(recordCall{request: f.id()}, step.Op)
	case recorder.Pause:
		r.recordPaused(f, step)
	case recorder.Proceed:
		r.recorded(f)
	case recorder.Found:
		r.callFound(f, step.Record)
	case recorder.Abandoned:
		r.recordAbandoned(f)
	case recorder.Settled, recorder.Lost:
		r.answerSettled(f, step)
	}
}

// recordPaused waits before a call is dispatched. After it, the caller gets its
// answer at once, and the settling goes on without it.
func (r *Router) recordPaused(f *flight, pause recorder.Pause) {
	if f.stage == stageRecording {
		r.at(pause.Until, recordDue{request: f.id()})
		return
	}
	r.keepSettling(f.id(), f.call, pause)
	r.answer(f)
}

func (r *Router) recorded(f *flight) {
	r.log(journal.New(journal.CallRecorded, f.id()).With("attempt", f.call.Record().Attempt))
	if f.abandoned {
		r.settleNotRun(f)
		r.refundAll(f)
		r.cancel(f)
		return
	}
	r.dispatch(f)
}

func (r *Router) recordAbandoned(f *flight) {
	r.refundAll(f)
	if f.call.MayExist() {
		r.settleNotRun(f)
	}
	refusal := action.Refused(action.StatusServiceUnavailable, action.CodePlatformFailed, "the call could not be recorded; it was not run")
	r.refuse(f, refusal.WithRetryAfter(comeBack))
}

// callFound answers a request whose call another attempt has recorded.
func (r *Router) callFound(f *flight, found recorder.Record) {
	r.refundAll(f)
	r.log(journal.New(journal.CallFound, f.id()).With("state", found.State).With("by", found.Request))
	if found.Fingerprint != f.request.Fingerprint {
		r.refuse(f, action.Refused(action.StatusUnprocessable, action.CodeKeyReused, "the Idempotency-Key was used for another request").WithPossiblyRun())
		return
	}
	switch {
	case found.State == recorder.StateDone:
		r.replay(f, found.Answer)
	case found.State == recorder.StateAttempted && r.runs(found):
		refusal := action.Refused(action.StatusConflict, action.CodeInProgress, "the call with this Idempotency-Key is still running").WithPossiblyRun()
		r.refuse(f, refusal.WithRetryAfter(comeBack))
	default:
		r.refuse(f, unknownOutcome())
	}
}

func unknownOutcome() action.Refusal {
	refusal := action.Refused(action.StatusConflict, action.CodeOutcomeUnknown, "it is not known whether the call ran; it will not be run again until an operator has resolved it")
	return refusal.WithPossiblyRun()
}

// runs reports whether the recorded attempt may still be running.
func (r *Router) runs(found recorder.Record) bool {
	if found.Instance != r.identity() {
		return r.known.IdentityAlive(r.now, found.Instance)
	}
	other, ok := r.flights[found.Request]
	if ok && other.call.Record().Attempt == found.Attempt {
		return true
	}
	_, ok = r.settling[found.Attempt]
	return ok
}

func (r *Router) replay(f *flight, answer recorder.Answer) {
	if answer.Omitted {
		refusal := action.Refused(action.StatusConflict, action.CodeAnswerNotKept, "the call has run; its answer was too long to be kept")
		r.refuse(f, refusal.WithPossiblyRun())
		return
	}
	r.log(journal.New(journal.RequestReplayed, f.id()).With("status", answer.Status))
	r.emit(action.Answer{Request: f.id(), Answer: answer, Replayed: true})
	r.end(f)
}

// settleAnswer records the answer of a call, then passes it on.
func (r *Router) settleAnswer(f *flight, state recorder.State) {
	f.stage = stageSettling
	call, step := f.call.Settle(state, f.answer, r.now.Add(settleTimeout))
	f.call = call
	r.recordStep(f, step)
}

func (r *Router) answerSettled(f *flight, step recorder.Step) {
	r.logSettled(f.id(), f.call, step)
	r.answer(f)
}

// settleNotRun records in the background that a call was not run.
func (r *Router) settleNotRun(f *flight) {
	r.settleInBackground(f, recorder.StateNotRun)
}

func (r *Router) settleInBackground(f *flight, state recorder.State) {
	call, step := f.call.Settle(state, recorder.Answer{}, r.now.Add(settleTimeout))
	r.keepSettling(f.id(), call, step)
}

// keepSettling goes on with a settling without its flight. When there are too
// many, the call stays as it was recorded.
func (r *Router) keepSettling(request string, call recorder.Recorder, step recorder.Step) {
	if len(r.settling) >= maxSettling {
		r.logSettled(request, call, recorder.Lost{})
		return
	}
	attempt := call.Record().Attempt
	r.settling[attempt] = &settling{call: call, request: request}
	r.settleStep(attempt, step)
}

func (r *Router) settleAnswered(attempt string, answer objectstore.Answer) {
	kept, ok := r.settling[attempt]
	if !ok {
		return
	}
	call, step := kept.call.Answered(r.now, answer)
	kept.call = call
	r.settleStep(attempt, step)
}

func (r *Router) settleResumed(attempt string) {
	kept, ok := r.settling[attempt]
	if !ok {
		return
	}
	call, step := kept.call.Resumed(r.now)
	kept.call = call
	r.settleStep(attempt, step)
}

func (r *Router) settleStep(attempt string, step recorder.Step) {
	switch step := step.(type) {
	case recorder.Ask:
		r.call(settleCall{attempt: attempt}, step.Op)
	case recorder.Pause:
		r.at(step.Until, settleDue{attempt: attempt})
	default:
		kept := r.settling[attempt]
		delete(r.settling, attempt)
		r.logSettled(kept.request, kept.call, step)
	}
}

func (r *Router) logSettled(request string, call recorder.Recorder, step recorder.Step) {
	number := journal.CallSettled
	if _, ok := step.(recorder.Lost); ok {
		number = journal.CallUnsettled
	}
	r.log(journal.New(number, request).With("state", call.Record().State).With("attempt", call.Record().Attempt))
}
