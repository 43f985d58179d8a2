package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
)

// handleAttemptFailed handles an attempt that ended without a complete response.
func (r *Router) handleAttemptFailed(ev event.AttemptFailed) {
	f, ok := r.flightForAttempt(ev.Request, ev.Attempt)
	if !ok {
		return
	}
	r.recordFailure(f, ev)
	decision := f.decideRetry(ev)
	f.possiblySent = f.possiblySent || ev.Progress != retrier.NotSent
	f.partiallyDelivered = f.partiallyDelivered || ev.DeliveredTokens > 0
	switch {
	case f.isCrash(ev):
		r.handleCrash(f)
	case r.canResume(f, ev):
		f.resumed = true
		server, _ := r.view.Server(f.server)
		r.emitDispatch(f, server, ev.LastEventNumber)
	default:
		r.endInconclusiveIsolatedRun(f)
		r.applyRetryDecision(f, ev, decision)
	}
}

// recordFailure logs the failure, ends the accounting of the attempt and updates the
// state of its server.
func (r *Router) recordFailure(f *flight, ev event.AttemptFailed) {
	entry := eventlog.New(eventlog.AttemptFailed, f.id()).With("server", f.server).With("attempt", f.attemptID)
	r.log(entry.With("reach", ev.Progress).With("failure", ev.Failure).With("passed", ev.DeliveredTokens))
	r.endAttempt(f, ev.Failure == retrier.Busy)
	r.notifyAttemptEnded(f, -1)
	if ev.Failure == retrier.Unreachable {
		r.view.SuspectDomainOf(r.now, f.server)
	}
}

// decideRetry decides whether and how the request is retried after the failure.
func (f *flight) decideRetry(ev event.AttemptFailed) retrier.Decision {
	return retrier.Decide(retrier.Attempt{
		Repeatable:  f.route.Repeatable,
		Progress:    ev.Progress,
		Failure:     ev.Failure,
		Number:      f.attempts,
		EarlierSent: f.possiblySent,
	})
}

// canResume reports whether the same server may still have the attempt whose
// connection broke. An attempt is resumed only once. The outcome of resuming also
// shows whether the server crashed.
func (r *Router) canResume(f *flight, ev event.AttemptFailed) bool {
	_, listed := r.view.Server(f.server)
	return f.isModel() && ev.Failure == retrier.ConnectionLost && listed && !f.resumed
}

// isCrash reports whether the failure indicates a crash of the server: after a
// broken connection the server refuses connections or has lost the attempt.
func (f *flight) isCrash(ev event.AttemptFailed) bool {
	gone := ev.Failure == retrier.DialRefused || ev.Failure == retrier.AttemptNotFound
	return f.resumed && f.resumeFrom == nil && gone
}

// endInconclusiveIsolatedRun ends the flight's isolated run, if it has one, as inconclusive:
// the attempt failed without a crash or was cancelled. The request stays a suspect.
func (r *Router) endInconclusiveIsolatedRun(f *flight) {
	if f.isolation.isolated {
		r.endIsolatedRun(f, peerv1.Blame_SUSPECT)
	}
}

func (r *Router) applyRetryDecision(f *flight, ev event.AttemptFailed, decision retrier.Decision) {
	switch decision {
	case retrier.RetryOtherServer:
		r.dispatch(f)
	case retrier.ContinueStream:
		r.continueElsewhere(f)
	case retrier.NotRun:
		r.refuseNotRun(f, action.CodeServerFailed, "no backend server could be reached")
	case retrier.GiveUp:
		r.failOrEndStream(f, ev.DeliveredTokens)
	case retrier.UnknownOutcome:
		r.settleInBackground(f, recorder.StateUnknown)
		r.refuse(f, unknownOutcomeRefusal())
	}
}

// continueElsewhere continues a broken stream at another server.
func (r *Router) continueElsewhere(f *flight) {
	if f.resumeFrom != nil || len(r.untriedServers(f)) == 0 {
		r.endStream(f)
		return
	}
	r.dispatch(f)
}

func (r *Router) failOrEndStream(f *flight, delivered int64) {
	if delivered > 0 {
		r.endStream(f)
		return
	}
	r.refuseFailed(f, action.CodeServerFailed, "the backend servers failed to answer")
}

// endStream ends a stream of which the caller has received a part.
func (r *Router) endStream(f *flight) {
	refusal := action.NewRefusal(action.StatusBadGateway, action.CodeStreamIncomplete, "the backend servers failed before the end of the stream")
	r.endStreamWith(f, refusal.WithMayHaveRun().WithRetryAfter(defaultRetryAfter))
}

func (r *Router) endStreamWith(f *flight, refusal action.Refusal) {
	r.log(eventlog.New(eventlog.RequestRefused, f.id()).With("code", refusal.Code).With("status", refusal.Status))
	r.emit(action.EndStream{Request: f.id(), Refusal: refusal})
	r.removeFlight(f)
}

// refuseWithoutServer ends a request for which no server is left.
func (r *Router) refuseWithoutServer(f *flight) {
	if f.possiblySent && f.route.Repeatable {
		r.refuseFailed(f, action.CodeServerFailed, "all backend servers that could answer have failed")
		return
	}
	r.refuseNotRun(f, action.CodeNoServer, "no backend server can take the request")
}

// refuseNotRun ends a request that has certainly not run.
func (r *Router) refuseNotRun(f *flight, code action.Code, message string) {
	r.refundAll(f)
	if !f.route.Repeatable {
		r.settleNotRun(f)
	}
	r.refuse(f, action.NewRefusal(action.StatusServiceUnavailable, code, message).WithRetryAfter(defaultRetryAfter))
}

// refuseFailed ends a request that may have run in part and may be repeated. The
// caller has received nothing, so the tokens are refunded.
func (r *Router) refuseFailed(f *flight, code action.Code, message string) {
	r.refundAll(f)
	refusal := action.NewRefusal(action.StatusBadGateway, code, message).WithMayHaveRun().WithRetryAfter(defaultRetryAfter)
	r.refuse(f, refusal)
}
