package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
)

func (f *Forwarder) handleStreamStarted(event StreamStarted) {
	if fl, ok := f.flights[event.Request]; ok && fl.isAlternative(event.Attempt) {
		f.replaceAttempt(fl)
	}
	fl, ok := f.currentAttempt(event.Request, event.Attempt)
	if !ok {
		return
	}
	if used := fl.ways[fl.attempt]; used.hop.Direct() && used.beganAt > 0 {
		f.recordConnect(fl.server, used.beganAt, true)
	}
	if !f.mayBegin(fl) {
		f.cancelAttempts(fl)
		f.refuse(fl, ReasonStopping, f.stoppingRetryAfter())
		return
	}
	if !fl.partDelivered {
		f.emit(ObserveDuration{Histogram: HistogramFirstEvent, Duration: f.now.Since(fl.arrivedAt)})
	}
	if !fl.streamStarted {
		fl.answeringSince, fl.survived = f.now, false
	}
	fl.streamStarted = true
	fl.progressAt, fl.progressEvents = f.now, 1
	f.startExposed(fl, event.Attempt)
	f.recordOrigin(fl)
	f.dropAlternative(fl)
	f.scheduler.ResponseStarted(f.now, fl.attemptKey(fl.attempt))
	f.scheduleCheck(fl)
	f.recordServed(fl, event.WeightsVersion)
	entry := eventlog.New(eventlog.AttemptFirstToken, fl.id()).With("server", fl.server).With("attempt", fl.attempt)
	entry = f.withWeights(entry, fl.weights)
	if event.WeightsVersion > 0 && len(fl.weights.versions) > 0 {
		entry = entry.With("served", event.WeightsVersion)
	}
	f.log(entry.With("after", f.now.Since(fl.arrivedAt)))
}

func (f *Forwarder) handleStreamUnplaced(event StreamUnplaced) {
	if fl, ok := f.currentAttempt(event.Request, event.Attempt); ok {
		fl.unplaced = true
	}
}

func (f *Forwarder) handleAttemptEnded(event AttemptEnded) {
	if fl, ok := f.currentAttempt(event.Request, event.Attempt); ok {
		f.recordEnded(fl, event)
		f.recordPace(fl, event)
	}
	f.recordExposedEnd(event)
	f.recordWayOf(event)
	if fl, ok := f.flights[event.Request]; ok && fl.isAlternative(event.Attempt) {
		f.handleAlternativeEnded(fl, event)
		return
	}
	fl, ok := f.currentAttempt(event.Request, event.Attempt)
	if !ok {
		return
	}
	fl.attemptActive = false
	if event.Delivered {
		f.recordOrigin(fl)
	}
	if event.LastEventID != "" {
		fl.lastEventID = event.LastEventID
	}
	if !fl.streamStarted && !event.Outcome.NotRun() {
		f.recordServed(fl, event.WeightsVersion)
	}
	f.recordAnsweredWeights(fl.server, fl.weights, event.WeightsVersion)
	f.endAttempt(fl, fl.attempt)
	if event.Outcome == OutcomeCompleted && (!fl.partDelivered || event.Status == statusOK) {
		f.handleCompletedAttempt(fl, event)
		return
	}
	f.handleFailedAttempt(fl, event)
}

// recordWayOf records what the end of an attempt shows about the way to its server.
func (f *Forwarder) recordWayOf(event AttemptEnded) {
	fl, ok := f.flights[event.Request]
	if !ok {
		return
	}
	server := fl.server
	if fl.isAlternative(event.Attempt) {
		server = fl.alternative.server
	} else if fl.attempt != event.Attempt {
		return
	}
	if f.recordWay(fl, event, server) {
		delete(fl.triedServers, server)
	}
}

// handleCompletedAttempt forwards a server's response. A 5xx response to a retryable
// request is retried at another server first.
func (f *Forwarder) handleCompletedAttempt(fl *flight, event AttemptEnded) {
	failed := event.Status >= 500
	f.servers.RecordResult(f.now, fl.server, failed)
	if event.Status == statusOK && fl.streamStarted {
		f.recordSurvival(fl)
	}
	if failed {
		fl.answered, fl.answeredStatus = event.Attempt, event.Status
	}
	if failed && fl.alternative != nil {
		f.replaceAttempt(fl)
		return
	}
	if failed && f.canRetry(fl) && !fl.callerDisconnected && f.retry(fl) == "" {
		return
	}
	f.forwardResponse(fl, event.Attempt, event.Status)
}

// forwardResponse ends a flight with the server's response to an attempt.
func (f *Forwarder) forwardResponse(fl *flight, attempt, status int) {
	entry := eventlog.New(eventlog.RequestAnswered, fl.id()).With("server", fl.server).With("status", status)
	f.log(entry.With("attempts", fl.attempts).With("after", f.now.Since(fl.arrivedAt)))
	f.emit(ObserveDuration{Histogram: histogramResponsePrefix + Histogram(fl.route.Kind.String()), Duration: f.now.Since(fl.arrivedAt)})
	fl.completed = true
	f.removeFlight(fl)
	f.emit(ForwardResponse{Request: fl.id(), Attempt: attempt})
}

// recordFailure logs a failed attempt and records what it shows about the server.
func (f *Forwarder) recordFailure(fl *flight, event AttemptEnded, server string) {
	entry := eventlog.New(eventlog.AttemptFailed, fl.id()).With("server", server).With("attempt", event.Attempt).With("failure", event.Outcome)
	entry = entry.With("status", event.Status).With("detail", event.Detail).With("passed", fl.partDelivered).With("after", f.now.Since(fl.arrivedAt))
	if event.Verdict != tunnelverdict.None {
		entry = entry.With("verdict", event.Verdict)
	}
	f.log(entry.With("parts", fl.formatParts()))
	switch event.Outcome {
	case OutcomeNotSent, OutcomeExpired:
	case OutcomeDeclined:
		f.servers.RecordResult(f.now, server, false)
		f.recordRejection(server)
		f.recordFull(fl, server)
	case OutcomeMisdirected:
		f.servers.RecordResult(f.now, server, false)
	case OutcomeInterrupted:
		f.servers.RecordResult(f.now, server, true)
		f.recordInterruption(fl, event, server)
		f.checkHealth(server)
	case OutcomeCorrupted, OutcomeCompleted:
		f.servers.RecordResult(f.now, server, true)
	}
}

func (f *Forwarder) handleFailedAttempt(fl *flight, event AttemptEnded) {
	if event.Outcome == OutcomeUndeliverable {
		f.handleDisconnect(fl.id())
		return
	}
	if event.Outcome != OutcomeSuperseded {
		f.recordFailure(fl, event, fl.server)
	}
	if event.Outcome.NotRun() {
		fl.possibleRuns--
	}
	if fl.callerDisconnected {
		f.refuse(fl, ReasonServerFailed, 0)
		return
	}
	if fl.alternative != nil {
		f.replaceAttempt(fl)
		return
	}
	retryable := event.Outcome.NotRun() || f.canRetry(fl)
	if fl.partDelivered && (!fl.route.Resumable || fl.unplaced) {
		retryable = false
	}
	if !retryable {
		f.refuse(fl, ReasonServerFailed, f.jitteredRetryAfter())
		return
	}
	if !f.awaitCrashCheck(fl, event) {
		f.retryOrRefuse(fl)
	}
}

// checkHealth sends a health check to the server, if it is known and does not pause.
func (f *Forwarder) checkHealth(id string) {
	server, ok := f.servers.Server(id)
	switch {
	case !ok || server.Paused(f.now):
	case f.paths.Blocked(id):
		f.suspect(id, false)
	default:
		f.emitHealthCheck(server)
	}
}

func (f *Forwarder) emitHealthCheck(server registry.Server) {
	f.emit(CheckHealth{Server: server.ID, Address: server.Address, StartedAt: server.StartedAt, Path: f.desired.Services[server.Service].HealthPath, BeganAt: f.now})
}
