package forwarder

import (
	"strconv"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
)

// alternative is an attempt at another server beside the current one, which is silent or
// has to end, so that a sound server is not left before another one has responded. If the
// current attempt is silent, the one that continues the response first is kept; if it has
// to end, it is cancelled with the first event of the alternative.
type alternative struct {
	number int
	server string
	// startMs is the expected time until its response starts, in milliseconds.
	startMs float64
	reason  attemptReason
	// origin is that of its server.
	origin originkeeper.Origin
}

// attemptReason is the reason for an attempt, as it is logged.
type attemptReason string

const (
	// nextAttempt follows an attempt that has ended; it is also the first one.
	nextAttempt attemptReason = "next"
	// The others are alternatives: because the current attempt is silent, because its engine
	// must load new weights, or because its server leaves.
	reasonSilent  attemptReason = "silent"
	reasonWeights attemptReason = "weights"
	reasonLeaving attemptReason = "leaving"
)

// isHandover reports whether the alternative replaces an attempt that still sends events.
func (r attemptReason) isHandover() bool { return r == reasonWeights || r == reasonLeaving }

// tryAlternative starts an attempt at another server beside the current one, if there is a
// server where the request can start in time and the retry budget allows it.
func (f *Forwarder) tryAlternative(fl *flight, reason attemptReason) bool {
	if fl.alternative != nil || !fl.attemptActive || fl.callerDisconnected || !f.canRetry(fl) || fl.remaining(f.now) < minRemaining {
		return false
	}
	f.scheduler.ExcludeSources(f.excludedSources())
	choice, ok := f.scheduler.Choose(f.now, f.schedulerRequest(fl), f.candidates(fl))
	if !ok || fl.queueTooLong(choice, f.now) || !f.retryBudget.AcquireRetry(f.now, fl.service, f.instanceCount()) {
		return false
	}
	entry := eventlog.New(eventlog.AlternativeTried, fl.id()).With("server", fl.server).With("attempt", fl.attempt).With("reason", reason)
	f.log(entry.With("passed", fl.partDelivered).With("after", f.now.Since(fl.arrivedAt)))
	number := f.startAttempt(fl, choice, reason)
	fl.alternative = &alternative{number: number, server: choice.Server, startMs: choice.CostMs, reason: reason, origin: f.originOf(choice.Server)}
	fl.checkAt = fl.deadline
	return true
}

// replaceAttempt makes the alternative the current attempt. It cancels the one before if
// that has not ended.
func (f *Forwarder) replaceAttempt(fl *flight) {
	left := fl.server
	if fl.attemptActive {
		f.emit(CancelAttempt{Request: fl.id(), Attempt: fl.attempt})
		f.logReplaced(fl)
	}
	f.scheduler.End(fl.attemptKey(fl.attempt))
	replacement := fl.alternative
	fl.alternative = nil
	fl.attempt, fl.server, fl.expectedStartMs = replacement.number, replacement.server, replacement.startMs
	fl.attemptOrigin = replacement.origin
	silent := fl.attemptActive && replacement.reason == reasonSilent
	fl.attemptActive, fl.streamStarted = true, false
	if silent {
		f.servers.RecordResult(f.now, left, true)
		f.checkHealth(left)
	}
	f.scheduleCheck(fl)
}

func (f *Forwarder) logReplaced(fl *flight) {
	if fl.alternative.reason.isHandover() {
		f.log(eventlog.New(eventlog.StreamMoved, fl.id()).With("server", fl.server).With("reason", fl.alternative.reason).With("after", f.now.Since(fl.arrivedAt)))
		return
	}
	entry := eventlog.New(eventlog.AttemptFailed, fl.id()).With("server", fl.server).With("attempt", fl.attempt).With("failure", fl.alternative.reason)
	f.log(entry.With("passed", fl.partDelivered).With("after", f.now.Since(fl.arrivedAt)))
}

// handleAlternativeEnded handles the end of the alternative before the current attempt
// has gone on.
func (f *Forwarder) handleAlternativeEnded(fl *flight, event AttemptEnded) {
	if event.Outcome == OutcomeCompleted && event.Status < statusInternalError && (!fl.partDelivered || event.Status == statusOK) {
		f.replaceAttempt(fl)
		f.handleAttemptEnded(event)
		return
	}
	ended := fl.alternative
	fl.alternative = nil
	f.scheduler.End(fl.attemptKey(ended.number))
	if event.Outcome != OutcomeSuperseded {
		f.recordFailure(fl, event, ended.server)
	}
	if event.Outcome.notRun() {
		fl.possibleRuns--
	}
	if !fl.streamStarted {
		fl.checkAt = min(fl.deadline, f.now.Add(silenceCheckInterval))
	}
}

// dropAlternative cancels the alternative, if there is one.
func (f *Forwarder) dropAlternative(fl *flight) {
	if fl.alternative == nil {
		return
	}
	f.emit(CancelAttempt{Request: fl.id(), Attempt: fl.alternative.number})
	f.scheduler.End(fl.attemptKey(fl.alternative.number))
	fl.alternative = nil
}

// attemptKey identifies an attempt in the scheduler.
func (fl *flight) attemptKey(number int) string { return fl.id() + "/" + strconv.Itoa(number) }
