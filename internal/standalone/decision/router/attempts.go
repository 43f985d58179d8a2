package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/blamer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/stamper"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// dispatch chooses a server and begins an attempt there.
func (r *Router) dispatch(f *flight) {
	if r.listStale {
		f.stage = stageListing
		return
	}
	if f.from != nil {
		r.resumeLost(f)
		return
	}
	if f.isModel() && r.blame.State(r.now, f.request.Fingerprint) == blamer.Suspect {
		r.isolate(f)
		return
	}
	if r.askHome(f) {
		return
	}
	r.dispatchByOwnChoice(f)
}

// dispatchByOwnChoice begins an attempt at the server that this instance chooses.
func (r *Router) dispatchByOwnChoice(f *flight) {
	server, ok := r.choose(f)
	if !ok {
		r.noServer(f)
		return
	}
	r.dispatchTo(f, server)
}

// dispatchTo begins an attempt at the server.
func (r *Router) dispatchTo(f *flight, server tracker.Server) {
	f.attempt = r.ids.ID("a")
	f.attempts++
	f.resumed = false
	r.emitDispatch(f, server, -1)
}

// resumeLost goes on with a caller's lost stream at the engine that has it. The
// text so far is not known here, so no other engine can.
func (r *Router) resumeLost(f *flight) {
	server, ok := r.known.Server(f.from.Server)
	if !ok || f.attempts > 0 {
		refusal := action.Refused(action.StatusGone, action.CodeStreamLost, "the stream can't go on; send the request without Last-Event-ID")
		r.refuse(f, refusal.WithPossiblyRun())
		return
	}
	f.attempt = f.from.Attempt
	f.attempts++
	r.emitDispatch(f, server, f.from.Event)
}

// emitDispatch begins the flight's attempt at the server, or goes on with it
// after the numbered event.
func (r *Router) emitDispatch(f *flight, server tracker.Server, resumeAfter int64) {
	if resumeAfter < 0 {
		r.expect(f, server)
	}
	f.stage = stageRunning
	f.server = server.Name
	f.tried[server.Name] = true
	r.known.Placed(server.Name)
	r.emit(action.Dispatch{
		Stamp:             stamper.New(r.settings.Credential, f.team.Name, f.request.Fingerprint, server.Name, f.attempt),
		ResumeAfter:       resumeAfter,
		Request:           f.id(),
		Attempt:           f.attempt,
		Server:            server.Name,
		Address:           server.Address,
		Salt:              f.scope(server).Salt(),
		Priority:          int(f.class.FirstToken),
		Operation:         f.operation(),
		FirstTokenTimeout: r.settings.AnswerTimeout,
	})
}

// operation returns the identifier under which a service may recognize a call
// that may not be repeated.
func (f *flight) operation() string {
	if f.route.Repeatable {
		return ""
	}
	return f.call.Record().Attempt
}

func (r *Router) firstToken(happened event.FirstToken) {
	f, ok := r.attemptOf(happened.Request, happened.Attempt)
	if !ok {
		return
	}
	r.settleWork(f)
	r.tellHome(f, &peerv1.WorkEnd{Request: f.id(), CachedTokens: -1})
	r.log(journal.New(journal.AttemptFirstToken, f.id()).With("attempt", f.attempt).With("after", r.now.Since(f.arrived)))
}

// attemptOf returns the flight whose current attempt it is. Late and crossed
// answers have another attempt and are dropped.
func (r *Router) attemptOf(request, attempt string) (*flight, bool) {
	f, ok := r.flights[request]
	if !ok || f.stage != stageRunning || f.attempt != attempt {
		r.log(journal.New(journal.AnswerDropped, request).With("attempt", attempt))
		return nil, false
	}
	return f, true
}

func (r *Router) endAttempt(f *flight, reached bool) {
	r.settleWork(f)
	before, _ := r.known.Server(f.server)
	r.known.Ended(r.now, f.server, reached)
	after, _ := r.known.Server(f.server)
	if after.Suspect(r.now) && !before.Suspect(r.now) {
		r.log(journal.New(journal.ServerSuspected, f.id()).With("server", f.server))
	}
}

func (r *Router) attemptAnswered(happened event.AttemptAnswered) {
	f, ok := r.attemptOf(happened.Request, happened.Attempt)
	if !ok {
		return
	}
	if failure, failed := f.retryable(happened.Status); failed {
		r.attemptFailed(event.AttemptFailed{Request: f.id(), Attempt: f.attempt, Reach: retrier.Sent, Failure: failure})
		return
	}
	r.endAttempt(f, true)
	if f.isolation.alone {
		r.endAlone(f, peerv1.Blame_CLEAR)
	}
	f.answer = recorder.Answer{Status: happened.Status, ContentType: happened.ContentType, Body: happened.Body}
	if f.isModel() {
		r.endWork(f, happened.CachedTokens)
		r.correctIndex(f, happened)
		r.refund(f, max(f.cost()-happened.UsedTokens, 0))
	}
	if f.route.Repeatable {
		r.answer(f)
		return
	}
	r.settleAnswer(f, stateAfter(happened.Status))
}

// retryable returns the failure that a service's status stands for, when the
// call may be repeated.
func (f *flight) retryable(status int) (retrier.Failure, bool) {
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

// stateAfter returns what a service's status says of a call: after an error of
// the server's own nobody knows whether the call ran.
func stateAfter(status int) recorder.State {
	if status >= action.StatusInternalError {
		return recorder.StateUnknown
	}
	return recorder.StateDone
}

// answer ends a flight with its answer.
func (r *Router) answer(f *flight) {
	entry := journal.New(journal.RequestAnswered, f.id()).With("server", f.server).With("status", f.answer.Status)
	r.log(entry.With("attempts", f.attempts).With("after", r.now.Since(f.arrived)))
	r.emit(action.Answer{Request: f.id(), Answer: f.answer})
	r.end(f)
}
