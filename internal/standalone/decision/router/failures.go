package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
)

// attemptFailed takes in the end of an attempt without a whole answer.
func (r *Router) attemptFailed(happened event.AttemptFailed) {
	f, ok := r.attemptOf(happened.Request, happened.Attempt)
	if !ok {
		return
	}
	r.noteFailure(f, happened)
	verdict := f.verdict(happened)
	f.sent = f.sent || happened.Reach != retrier.NotSent
	f.passed = f.passed || happened.Passed > 0
	switch {
	case f.crashOf(happened):
		r.crashed(f)
	case r.canResume(f, happened):
		f.resumed = true
		server, _ := r.known.Server(f.server)
		r.emitDispatch(f, server, happened.LastEvent)
	default:
		r.endFailedAlone(f)
		r.afterFailure(f, happened, verdict)
	}
}

// noteFailure logs the failure and takes the attempt's work and its server's
// reputation into account.
func (r *Router) noteFailure(f *flight, failed event.AttemptFailed) {
	entry := journal.New(journal.AttemptFailed, f.id()).With("server", f.server).With("attempt", f.attempt)
	r.log(entry.With("reach", failed.Reach).With("failure", failed.Failure).With("passed", failed.Passed))
	r.endAttempt(f, failed.Failure == retrier.Busy)
	r.endWork(f, -1)
	if failed.Failure == retrier.Unreachable {
		r.known.Unreachable(r.now, f.server)
	}
}

// verdict returns what the table of package retrier says of the failure.
func (f *flight) verdict(failed event.AttemptFailed) retrier.Verdict {
	return retrier.Decide(retrier.Attempt{
		Repeatable:  f.route.Repeatable,
		Reach:       failed.Reach,
		Failure:     failed.Failure,
		Number:      f.attempts,
		EarlierSent: f.sent,
	})
}

// canResume reports whether the same server may still have the cut attempt. It
// is asked once; its answer also tells whether the server crashed.
func (r *Router) canResume(f *flight, failed event.AttemptFailed) bool {
	_, listed := r.known.Server(f.server)
	return f.isModel() && failed.Failure == retrier.Cut && listed && !f.resumed
}

// crashOf reports whether the failure tells of a crash: after a cut the server's
// instance refuses connections, or the server has lost the attempt.
func (f *flight) crashOf(failed event.AttemptFailed) bool {
	gone := failed.Failure == retrier.Dial || failed.Failure == retrier.Lost
	return f.resumed && f.from == nil && gone
}

// endFailedAlone ends a lone run that failed without a crash.
func (r *Router) endFailedAlone(f *flight) {
	if f.isolation.alone {
		r.endAlone(f, peerv1.Blame_SUSPECT)
	}
}

func (r *Router) afterFailure(f *flight, happened event.AttemptFailed, verdict retrier.Verdict) {
	switch verdict {
	case retrier.Elsewhere:
		r.dispatch(f)
	case retrier.Resume:
		r.goOn(f)
	case retrier.NotRun:
		r.notRun(f, action.CodeServerFailed, "no backend server could be reached")
	case retrier.GiveUp:
		r.giveUpAfter(f, happened.Passed)
	case retrier.UnknownOutcome:
		r.settleInBackground(f, recorder.StateUnknown)
		r.refuse(f, unknownOutcome())
	}
}

// goOn goes on with a broken stream at another server.
func (r *Router) goOn(f *flight) {
	if f.from != nil || len(r.untried(f)) == 0 {
		r.endStream(f)
		return
	}
	r.dispatch(f)
}

func (r *Router) giveUpAfter(f *flight, passed int64) {
	if passed > 0 {
		r.endStream(f)
		return
	}
	r.giveUp(f, action.CodeServerFailed, "the backend servers failed to answer")
}

// endStream ends a stream of which the caller has a part.
func (r *Router) endStream(f *flight) {
	refusal := action.Refused(action.StatusBadGateway, action.CodeStreamIncomplete, "the backend servers failed before the end of the stream")
	r.endStreamWith(f, refusal.WithPossiblyRun().WithRetryAfter(comeBack))
}

func (r *Router) endStreamWith(f *flight, refusal action.Refusal) {
	r.log(journal.New(journal.RequestRefused, f.id()).With("code", refusal.Code).With("status", refusal.Status))
	r.emit(action.EndStream{Request: f.id(), Refusal: refusal})
	r.end(f)
}

// noServer ends a request for which no server is left.
func (r *Router) noServer(f *flight) {
	if f.sent && f.route.Repeatable {
		r.giveUp(f, action.CodeServerFailed, "all backend servers that could answer have failed")
		return
	}
	r.notRun(f, action.CodeNoServer, "no backend server can take the request")
}

// notRun ends a request that certainly has not run.
func (r *Router) notRun(f *flight, code action.Code, message string) {
	r.refundAll(f)
	if !f.route.Repeatable {
		r.settleNotRun(f)
	}
	r.refuse(f, action.Refused(action.StatusServiceUnavailable, code, message).WithRetryAfter(comeBack))
}

// giveUp ends a request that may have run in part and may be repeated. Its
// caller has got nothing, so its tokens are returned.
func (r *Router) giveUp(f *flight, code action.Code, message string) {
	r.refundAll(f)
	refusal := action.Refused(action.StatusBadGateway, code, message).WithPossiblyRun().WithRetryAfter(comeBack)
	r.refuse(f, refusal)
}
