package forwarder

import (
	"fmt"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/quarantine"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// HTTP status codes.
const (
	statusOK              = 200
	statusUnauthorized    = 401
	statusNotFound        = 404
	statusTooManyRequests = 429
	statusInternalError   = 500
	statusBadGateway      = 502
	statusUnavailable     = 503
	statusTimeout         = 504
)

// defaultTimeout applies where neither the route nor the caller sets a timeout.
const defaultTimeout = 30 * clock.Second

// handleArrival admits a new request. It refuses duplicates, requests above the limit of
// in-flight requests, those that arrive before the desired state and the servers are
// known, and those without a route or a valid key.
func (f *Forwarder) handleArrival(request Request) {
	if f.draining {
		f.logArrivalInDrain(request)
	}
	if _, ok := f.flights[request.ID]; ok {
		f.refuseOnArrival(request, statusUnavailable, ReasonTooManyInFlight, defaultRetryAfter)
		return
	}
	if len(f.flights) >= maxInFlight {
		f.refuseOnArrival(request, statusUnavailable, ReasonTooManyInFlight, defaultRetryAfter)
		return
	}
	if f.drainExpired {
		f.refuseOnArrival(request, statusUnavailable, ReasonStopping, f.stoppingRetryAfter())
		return
	}
	if f.desired.Version == 0 || !f.haveServers {
		f.refuseOnArrival(request, statusUnavailable, ReasonNotReady, defaultRetryAfter)
		return
	}
	route, found := f.desired.Match(request.Host, request.Path)
	if !found {
		f.refuseUnknown(request, statusNotFound, ReasonNoRoute)
		return
	}
	team, known := f.desired.TeamForKey(request.Key)
	if f.dependsOnKey(request, route) {
		if !known && !route.Open {
			f.refuseUnknown(request, statusUnauthorized, ReasonInvalidKey)
			return
		}
		if f.keysStale() {
			f.refuseOnArrival(request, statusUnavailable, ReasonStaleState, defaultRetryAfter)
			return
		}
	}
	if request.ResumedRequest == "" && request.LastEventID == "" && !f.mayBeginStream(route) {
		f.refuseOnArrival(request, statusUnavailable, ReasonNotReady, defaultRetryAfter)
		return
	}
	f.admit(request, route, team)
}

// refuseUnknown refuses a request whose route or key is not in the desired state. While
// the state may be out of date, it sends a retryable refusal instead of a final one.
func (f *Forwarder) refuseUnknown(request Request, status int, reason Reason) {
	if !f.desiredFresh() {
		f.refuseOnArrival(request, statusUnavailable, ReasonStaleState, defaultRetryAfter)
		return
	}
	f.refuseOnArrival(request, status, reason, 0)
}

// admit applies the quarantine and the team's limit, then assigns a server.
func (f *Forwarder) admit(request Request, route desired.Route, team desired.Team) {
	service := route.Service(request.SplitHash)
	f.retryBudget.RecordRequest(f.now, service)
	if f.quarantine.State(f.now, request.Fingerprint) == quarantine.Blocked {
		f.refuseOnArrival(request, statusUnavailable, ReasonCrashesServers, f.settings.Bounds.RetryWindow)
		return
	}
	fl := &flight{
		request: request, route: route, service: service, team: team.Name, priority: route.Priority,
		arrivedAt: f.now, deadline: f.beforeStop(f.now.Add(f.requestTimeout(request, route))),
		triedServers: map[string]bool{}, ways: map[int]way{}, lastEventID: request.LastEventID, partKeys: partKeys(request.PromptParts),
	}
	if team.HasPriority {
		fl.priority = team.Priority
	}
	if f.mayCrashServers(fl) {
		f.refuseOnArrival(request, statusUnavailable, ReasonCrashesServers, f.settings.Bounds.RetryWindow)
		return
	}
	if team.Rate > 0 {
		fl.acquired = team.Cost(request.PromptTokens + request.OutputTokens)
		if !f.limiter.Acquire(f.now, team.Name, fl.acquired) {
			wait := f.limiter.WaitTime(f.now, team.Name, fl.acquired)
			entry := eventlog.New(eventlog.TokensRefused, request.ID).With("team", team.Name).With("tokens", fl.acquired).With("rate", team.Rate).With("burst", team.Burst)
			f.log(entry.With("level", f.limiter.Level(f.now, team.Name)).With("part", fmt.Sprintf("%.2f", f.limiter.Share())))
			f.refuseOnArrival(request, statusTooManyRequests, ReasonOverRate, max(wait, 100*clock.Millisecond)+clock.Millis(f.jitter(int64(defaultRetryAfter))))
			return
		}
	}
	f.flights[fl.id()] = fl
	if fl.hasPrompt() {
		f.admitter.Arrived(f.now, service, fl.priority)
	}
	f.assignResumed(fl)
}

// requestTimeout returns the time limit for the request's final response.
func (f *Forwarder) requestTimeout(request Request, route desired.Route) clock.Millis {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if request.CallerTimeout > 0 {
		timeout = min(timeout, request.CallerTimeout)
	}
	return timeout
}

// refuseOnArrival refuses a request that has no flight yet.
func (f *Forwarder) refuseOnArrival(request Request, status int, reason Reason, retryAfter clock.Millis) {
	entry := eventlog.New(eventlog.RequestRefused, request.ID).With("code", reason).With("status", status)
	entry = entry.With("notRun", true).With("retryAfter", retryAfter).With("stateVersion", f.desired.Version)
	f.log(entry.With("stateAge", f.now.Since(f.desiredConfirmedAt)))
	f.emit(Refuse{Request: request.ID, Status: status, Reason: reason, RetryAfter: retryAfter})
}

// refuse ends a flight with an error response of the proxy itself, unless a server has
// responded with a failure before a retry: then with that response. The status 503 is sent
// only for a request that has certainly not run, and its tokens are released; one that may
// have run gets 502 or 504.
func (f *Forwarder) refuse(fl *flight, reason Reason, retryAfter clock.Millis) {
	if fl.answered > 0 && !fl.callerDisconnected && !fl.partDelivered {
		f.forwardResponse(fl, fl.answered, fl.answeredStatus)
		return
	}
	status := statusUnavailable
	if fl.possibleRuns > 0 {
		status = statusBadGateway
		if reason == ReasonTimeout {
			status = statusTimeout
		}
	}
	entry := eventlog.New(eventlog.RequestRefused, fl.id()).With("code", reason).With("status", status).With("notRun", fl.possibleRuns == 0)
	entry = entry.With("retryAfter", retryAfter).With("attempts", fl.attempts).With("server", fl.server)
	f.log(entry.With("after", f.now.Since(fl.arrivedAt)).With("passed", fl.partDelivered))
	f.emit(ObserveDuration{Histogram: HistogramRefusal, Duration: f.now.Since(fl.arrivedAt)})
	if fl.possibleRuns == 0 && fl.acquired > 0 {
		f.limiter.Release(fl.team, fl.acquired)
	}
	f.removeFlight(fl)
	switch {
	case fl.callerDisconnected:
		f.emit(DropRequest{Request: fl.id()})
	case fl.partDelivered:
		f.emit(AbortStream{Request: fl.id()})
	default:
		f.emit(Refuse{Request: fl.id(), Status: status, Reason: reason, RetryAfter: retryAfter})
	}
}

func (f *Forwarder) removeFlight(fl *flight) {
	f.trackEnded(fl)
	f.dropAlternative(fl)
	f.endAttempt(fl, fl.attempt)
	f.endQuery(fl)
	f.endLookup(fl)
	f.admitter.Remove(fl.id())
	delete(f.flights, fl.id())
}

// handleDisconnect drops a request whose caller has disconnected. The attempt of an
// unsafe request continues, because cancelling it would leave its outcome unknown.
func (f *Forwarder) handleDisconnect(id string) {
	fl, ok := f.flights[id]
	if !ok || fl.callerDisconnected {
		return
	}
	f.log(eventlog.New(eventlog.RequestAbandoned, id).With("server", fl.server).With("sending", fl.attemptActive).With("after", f.now.Since(fl.arrivedAt)))
	fl.callerDisconnected = true
	if fl.attemptActive && fl.route.Kind == desired.Unsafe {
		return
	}
	f.cancelAttempts(fl)
	f.removeFlight(fl)
	f.emit(DropRequest{Request: id})
}

// cancelAttempts cancels the current attempt and the alternative, if there are any.
func (f *Forwarder) cancelAttempts(fl *flight) {
	f.dropAlternative(fl)
	if fl.attemptActive {
		fl.attemptActive = false
		f.emit(CancelAttempt{Request: fl.id(), Attempt: fl.attempt})
	}
}
