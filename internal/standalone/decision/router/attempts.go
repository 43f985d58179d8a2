package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/quarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/eventids"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// dispatch selects a server and starts an attempt there.
func (r *Router) dispatch(f *flight) {
	if r.instancesStale {
		f.stage = stageAwaitingInstances
		return
	}
	if f.resumeFrom != nil {
		r.resumeStream(f)
		return
	}
	if f.isModel() && r.quarantine.State(r.now, f.request.Fingerprint) == quarantine.Suspect {
		r.isolate(f)
		return
	}
	if r.requestChoice(f) {
		return
	}
	r.dispatchLocally(f)
}

// dispatchLocally starts an attempt at a server that this instance selects itself.
func (r *Router) dispatchLocally(f *flight) {
	server, ok := r.chooseServer(f)
	if !ok {
		r.refuseWithoutServer(f)
		return
	}
	r.dispatchTo(f, server)
}

// dispatchTo starts an attempt at the server, unless the process may end before the response.
func (r *Router) dispatchTo(f *flight, server tracker.Server) {
	if !r.fitsBeforeEnd(f) {
		r.refuseLate(f)
		return
	}
	f.attemptID = r.ids.NewID("a")
	f.attempts++
	f.resumed = false
	r.emitDispatch(f, server, -1)
}

// resumeStream resumes a caller's broken stream at the engine that has it. No
// other engine can continue it, since this instance does not have the text that
// was generated so far.
func (r *Router) resumeStream(f *flight) {
	server, ok := r.view.Server(f.resumeFrom.Server)
	if !ok || f.attempts > 0 {
		refusal := action.NewRefusal(action.StatusGone, action.CodeStreamLost, "the stream can't go on; send the request without Last-Event-ID")
		r.refuse(f, refusal.WithMayHaveRun())
		return
	}
	f.attemptID = f.resumeFrom.Attempt
	f.attempts++
	r.emitDispatch(f, server, f.resumeFrom.EventNumber)
}

// emitDispatch starts the flight's attempt at the server, or resumes it after the
// event with the number resumeAfter; -1 means a new attempt.
func (r *Router) emitDispatch(f *flight, server tracker.Server, resumeAfter int64) {
	if resumeAfter < 0 {
		r.startPrefill(f, server)
	}
	f.stage = stageRunning
	f.server = server.Name
	f.sentAt, f.progressAt, f.progressEvents = r.now, 0, 0
	f.tried[server.Name] = true
	r.view.AttemptStarted(server.Name)
	r.emit(action.Dispatch{
		EventIDs:          eventids.New(r.settings.Credential, f.team.Name, f.request.Fingerprint, server.Name, f.attemptID),
		ResumeAfter:       resumeAfter,
		Request:           f.id(),
		Attempt:           f.attemptID,
		Server:            server.Name,
		Address:           server.Address,
		CacheSalt:         f.scope(server).Salt(),
		Priority:          int(f.class.FirstTokenTarget),
		OperationID:       f.operationID(),
		FirstTokenTimeout: r.settings.ResponseTimeout,
	})
}

// operationID returns the operation identifier for a service, by which it can deduplicate
// a call that may not be repeated; empty for other calls.
func (f *flight) operationID() string {
	if f.route.Repeatable {
		return ""
	}
	return f.recorder.Record().Attempt
}

func (r *Router) handleFirstToken(ev event.FirstToken) {
	f, ok := r.flightForAttempt(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	r.endPrefill(f)
	r.recordFirstToken(f)
	if !r.mayBegin(f) {
		r.refundAll(f)
		r.endRunning(f)
		return
	}
	r.notifyOwner(f, &peerv1.WorkEnd{Request: f.id(), CachedTokens: -1})
	r.log(eventlog.New(eventlog.AttemptFirstToken, f.id()).With("attempt", f.attemptID).With("after", r.now.Since(f.arrived)))
}

// flightForAttempt returns the flight whose current attempt has the identifier.
// Late and mismatched responses belong to another attempt and are dropped.
func (r *Router) flightForAttempt(request, attempt string) (*flight, bool) {
	f, ok := r.flights[request]
	if !ok || f.stage != stageRunning || f.attemptID != attempt {
		r.log(eventlog.New(eventlog.AnswerDropped, request).With("attempt", attempt))
		return nil, false
	}
	return f, true
}

// endAttempt updates the server's in-flight count and failure state, and logs if the
// server becomes suspect. The argument healthy is passed to tracker.AttemptEnded.
func (r *Router) endAttempt(f *flight, healthy bool) {
	r.endPrefill(f)
	before, _ := r.view.Server(f.server)
	r.view.AttemptEnded(r.now, f.server, healthy)
	after, _ := r.view.Server(f.server)
	if after.Suspect(r.now) && !before.Suspect(r.now) {
		r.log(eventlog.New(eventlog.ServerSuspected, f.id()).With("server", f.server))
	}
}

func (r *Router) handleAttemptCompleted(ev event.AttemptCompleted) {
	f, ok := r.flightForAttempt(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	if failure, failed := f.retryableFailure(ev.Status); failed {
		r.handleAttemptFailed(event.AttemptFailed{Request: f.id(), Attempt: f.attemptID, Progress: retrier.Sent, Failure: failure})
		return
	}
	r.recordPace(f, ev)
	r.endAttempt(f, true)
	if f.isolation.isolated {
		r.endIsolatedRun(f, peerv1.Blame_CLEAR)
	}
	f.response = recorder.Response{Status: ev.Status, ContentType: ev.ContentType, Body: ev.Body}
	if f.isModel() {
		r.notifyAttemptEnded(f, ev.CachedTokens)
		r.correctPrefixIndex(f, ev)
		r.refund(f, max(f.cost()-ev.UsedTokens, 0))
	}
	if f.route.Repeatable {
		r.respond(f)
		return
	}
	r.settleResponse(f, callStateFor(ev.Status))
}

// retryableFailure maps the status of a service's response to a failure, if the
// call may be repeated.
func (f *flight) retryableFailure(status int) (retrier.Failure, bool) {
	if f.isModel() || !f.route.Repeatable {
		return 0, false
	}
	switch status {
	case action.StatusServiceUnavailable:
		return retrier.Busy, true
	case action.StatusBadGateway, action.StatusGatewayTimeout:
		return retrier.ServerError, true
	default:
		return 0, false
	}
}

// callStateFor returns the state to record for a call whose response has the status.
// After a 5xx status it is unknown whether the call ran.
func callStateFor(status int) recorder.State {
	if status >= action.StatusInternalError {
		return recorder.StateUnknown
	}
	return recorder.StateDone
}

// respond sends the flight's response to the caller and removes the flight.
func (r *Router) respond(f *flight) {
	entry := eventlog.New(eventlog.RequestAnswered, f.id()).With("server", f.server).With("status", f.response.Status)
	r.log(entry.With("attempts", f.attempts).With("after", r.now.Since(f.arrived)))
	r.emit(action.Respond{Request: f.id(), Response: f.response})
	r.removeFlight(f)
}
