package forwarder

import (
	"strconv"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
)

// alternative is an attempt at another server beside the current one, which is silent. The
// attempt that continues the response first is kept and the other one is cancelled, so that
// a sound server is not left before another one has responded.
type alternative struct {
	number int
	server string
	// startMs is the expected time until its response starts, in milliseconds.
	startMs float64
	// origin is that of its server.
	origin originkeeper.Origin
	// weightsVersion is the version of the weights at its server.
	weightsVersion int64
}

// chooseOther chooses another server for a request that could stay where it is. It reports
// false if there is none where the request can start in time, or no retry budget is left.
func (f *Forwarder) chooseOther(fl *flight) (scheduler.Choice, bool) {
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
	return choice, f.retryBudget.AcquireRetry(f.now, fl.service, f.instanceCount())
}

// tryAlternative starts an attempt at another server beside the current one, which is
// silent. It reports false if that is not possible.
func (f *Forwarder) tryAlternative(fl *flight) bool {
	choice, ok := f.chooseOther(fl)
	if !ok {
		return false
	}
	entry := eventlog.New(eventlog.AlternativeTried, fl.id()).With("server", fl.server).With("attempt", fl.attempt)
	f.log(entry.With("passed", fl.partDelivered).With("after", f.now.Since(fl.arrivedAt)))
	number, plan := f.startAttempt(fl, choice, true)
	fl.alternative = &alternative{number: number, server: choice.Server, startMs: choice.CostMs, origin: f.originOf(choice.Server), weightsVersion: plan.weightsVersion}
	fl.checkAt = fl.deadline
	return true
}

// moveReason is the reason for which a stream leaves a server, as it is logged.
type moveReason string

const (
	moveForWeights moveReason = "weights"
	moveForLeaving moveReason = "leaving"
)

// moveStream resumes a stream at another server although its own one still sends events.
// Both can't run at once: what one of them sends next would not continue the other's.
func (f *Forwarder) moveStream(fl *flight, reason moveReason) {
	choice, ok := f.chooseOther(fl)
	if !ok {
		return
	}
	f.log(eventlog.New(eventlog.StreamMoved, fl.id()).With("server", fl.server).With("reason", reason).With("after", f.now.Since(fl.arrivedAt)))
	f.cancelAttempts(fl)
	f.endAttempt(fl, fl.attempt)
	fl.leftServers = append(fl.leftServers, fl.server)
	f.dispatch(fl, choice)
}

// replaceAttempt makes the alternative the current attempt. It cancels the one before if
// that has not ended.
func (f *Forwarder) replaceAttempt(fl *flight) {
	left, silent := fl.server, fl.attemptActive
	if silent {
		f.emit(CancelAttempt{Request: fl.id(), Attempt: fl.attempt})
		entry := eventlog.New(eventlog.AttemptFailed, fl.id()).With("server", left).With("attempt", fl.attempt).With("failure", "silent")
		f.log(entry.With("passed", fl.partDelivered).With("after", f.now.Since(fl.arrivedAt)))
	}
	f.endAttempt(fl, fl.attempt)
	replacement := fl.alternative
	fl.alternative = nil
	fl.attempt, fl.server, fl.expectedStartMs = replacement.number, replacement.server, replacement.startMs
	fl.attemptOrigin, fl.weightsVersion = replacement.origin, replacement.weightsVersion
	fl.attemptActive, fl.streamStarted = true, false
	if silent {
		f.servers.RecordSilence(f.now, left)
		f.checkHealth(left)
	}
	f.scheduleCheck(fl)
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
	if event.WeightsVersion > 0 && fl.hasPrompt() {
		f.recordWeights(ended.server, fl.request.Model, event.WeightsVersion)
	}
	switch {
	case event.Outcome == OutcomeSuperseded:
		fl.supersededRuns++
	case event.Outcome.NotRun():
		fl.possibleRuns--
		fallthrough
	default:
		f.recordFailure(fl, event, ended.server)
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
	f.endAttempt(fl, fl.alternative.number)
	fl.alternative = nil
	fl.supersededRuns++
}

// attemptKey identifies an attempt in the scheduler.
func (fl *flight) attemptKey(number int) string { return fl.id() + "/" + strconv.Itoa(number) }
