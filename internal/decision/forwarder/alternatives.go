package forwarder

import (
	"strconv"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// alternative is an attempt at another server beside the current one, which is silent or whose
// server is to be left. The attempt that continues the response first is kept and the other one is
// cancelled, so that a sound server is not left before another one has responded.
type alternative struct {
	// move is the reason for which the stream leaves the current server; empty if that is silent.
	move   moveReason
	number int
	server string
	// startMs is the expected time until its response starts, in milliseconds.
	startMs float64
	// origin is that of its server.
	origin originkeeper.Origin
	// weights are those at its server.
	weights boundWeights
}

// attemptRole is what an attempt is to the current one of its request.
type attemptRole int

const (
	currentAttempt attemptRole = iota
	besideSilent               // besideSilent is an alternative to a silent attempt.
	besideMoving               // besideMoving is one to an attempt whose server is to be left.
)

// chooseOther chooses another server for a request that could stay where it is, for a move or, without a
// reason, for an alternative to a silent server. It reports false if there is none where the request can start
// in time, or no retry budget is left.
func (f *Forwarder) chooseOther(fl *flight, move moveReason) (scheduler.Choice, bool) {
	if fl.alternative != nil || !fl.attemptActive || fl.callerDisconnected || !f.canRetry(fl) || fl.remaining(f.now) < minRemaining {
		return scheduler.Choice{}, false
	}
	if fl.confirms || f.mayCrashServers(fl) || f.keyRefusal(fl) != "" {
		return scheduler.Choice{}, false
	}
	f.scheduler.ExcludeSources(f.excludedSources())
	choice, ok, _ := f.chooseAdmitted(fl, f.schedulerRequest(fl), f.candidates(fl), false)
	if !ok || fl.queueTooLong(choice, f.now) || !f.fitsBeforeStop(fl, choice) {
		return scheduler.Choice{}, false
	}
	if move == moveForWeights && clock.Millis(choice.StartMs()) >= moveTimeout {
		return scheduler.Choice{}, false
	}
	return choice, f.retryBudget.AcquireRetry(f.now, fl.service, f.instanceCount())
}

// tryAlternative starts an attempt at another server beside the current one, which is
// silent. It reports false if that is not possible.
func (f *Forwarder) tryAlternative(fl *flight) bool {
	choice, ok := f.chooseOther(fl, "")
	if !ok {
		return false
	}
	entry := eventlog.New(eventlog.AlternativeTried, fl.id()).With("server", fl.server).With("attempt", fl.attempt)
	f.log(entry.With("passed", fl.partDelivered).With("after", f.now.Since(fl.arrivedAt)))
	number, plan := f.startAttempt(fl, choice, besideSilent)
	fl.alternative = &alternative{number: number, server: choice.Server, startMs: choice.CostMs, origin: f.originOf(choice.Server), weights: plan.weights}
	fl.checkAt = fl.deadline
	return true
}

// replaceAttempt makes the alternative the current attempt. It cancels the one before if
// that has not ended.
func (f *Forwarder) replaceAttempt(fl *flight) {
	left, silent := fl.server, fl.attemptActive && !fl.moves()
	if fl.attemptActive {
		f.emit(CancelAttempt{Request: fl.id(), Attempt: fl.attempt})
	}
	switch {
	case silent:
		f.logSilence(fl, left, fl.attempt)
	case fl.attemptActive:
		f.log(eventlog.New(eventlog.StreamMoved, fl.id()).With("server", left).With("reason", fl.alternative.move).With("after", f.now.Since(fl.arrivedAt)))
		fl.leftServers = append(fl.leftServers, left)
	}
	f.endAttempt(fl, fl.attempt)
	replacement := fl.alternative
	fl.alternative = nil
	fl.attempt, fl.server, fl.expectedStartMs = replacement.number, replacement.server, replacement.startMs
	fl.attemptOrigin, fl.weights = replacement.origin, replacement.weights
	fl.attemptActive, fl.streamStarted = true, false
	if silent {
		f.servers.RecordSilence(f.now, left)
		f.checkHealth(left)
	}
	f.scheduleCheck(fl)
}

// logSilence logs that an attempt is cancelled because its server has sent nothing.
func (f *Forwarder) logSilence(fl *flight, server string, attempt int) {
	entry := eventlog.New(eventlog.AttemptFailed, fl.id()).With("server", server).With("attempt", attempt).With("failure", "silent")
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
	f.endAttempt(fl, ended.number)
	f.recordAnsweredWeights(ended.server, ended.weights, event.WeightsVersion)
	switch {
	case event.Outcome == OutcomeSuperseded:
		fl.supersededRuns++
	case event.Outcome.NotRun():
		fl.possibleRuns--
		fallthrough
	default:
		f.recordFailure(fl, event, ended.server)
	}
	fl.checkAt = fl.deadline
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
	f.endAttempt(fl, fl.alternative.number)
	if fl.alternative.move != "" {
		fl.checkAt = fl.deadline
	}
	fl.alternative = nil
	fl.supersededRuns++
}

// isAlternative reports whether the attempt is the flight's alternative.
func (fl *flight) isAlternative(attempt int) bool {
	return fl.alternative != nil && fl.alternative.number == attempt
}

// attemptKey identifies an attempt in the scheduler.
func (fl *flight) attemptKey(number int) string { return fl.id() + "/" + strconv.Itoa(number) }
