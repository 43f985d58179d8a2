package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/quarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/authenticator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/eventids"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/matcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// defaultRetryAfter is the Retry-After of refusals without a better estimate.
const defaultRetryAfter = clock.Second

// handleArrival checks a new request, creates its flight and starts to acquire
// tokens.
func (r *Router) handleArrival(request event.RequestArrived) {
	if refusal, refused := r.checkAdmission(request); refused {
		r.refuseRequest(request.Request, refusal)
		return
	}
	f, refusal := r.newFlight(request)
	if f == nil {
		r.refuseRequest(request.Request, refusal)
		return
	}
	if !r.fitsBeforeEnd(f) {
		r.refuseRequest(f.id(), r.StoppingRefusal(f.id()))
		return
	}
	entry := eventlog.New(eventlog.RequestReceived, f.id()).With("team", f.team.Name).With("route", f.route.Name)
	r.log(entry.With("class", f.class.Name).With("tokens", f.cost()))
	r.flights[f.id()] = f
	r.acquireTokens(f)
}

// checkAdmission refuses duplicate identifiers, requests above MaxInFlight, and
// requests that arrive before the first configuration.
func (r *Router) checkAdmission(request event.RequestArrived) (action.Refusal, bool) {
	if _, ok := r.flights[request.Request]; ok {
		return action.NewRefusal(action.StatusConflict, action.CodeInvalidRequest, "a request with this identifier is in flight"), true
	}
	if len(r.flights) >= r.settings.MaxInFlight {
		refusal := action.NewRefusal(action.StatusServiceUnavailable, action.CodeTooManyInFlight, "this instance has too many requests in flight")
		return refusal.WithRetryAfter(defaultRetryAfter), true
	}
	if !r.ready() {
		refusal := action.NewRefusal(action.StatusServiceUnavailable, action.CodeNotReady, "this instance has no configuration yet")
		return refusal.WithRetryAfter(defaultRetryAfter), true
	}
	return action.Refusal{}, false
}

// newFlight returns the flight of a request that has a route and a team, or nil
// and the refusal.
func (r *Router) newFlight(request event.RequestArrived) (*flight, action.Refusal) {
	team, keyValid := authenticator.TeamForKey(r.configuration, r.manifest.Salt, request.Key)
	if _, ok := r.configuration.Classes[request.Class]; request.Class != "" && !ok {
		return nil, action.NewRefusal(action.StatusBadRequest, action.CodeUnknownClass, "the class "+request.Class+" is not configured")
	}
	route, found := r.matchRoute(request)
	if !keyValid && (!found || route.Access != config.AccessOpen) {
		return nil, action.NewRefusal(action.StatusUnauthorized, action.CodeInvalidKey, "the key is missing, unknown or withdrawn; send a valid one as Authorization: Bearer KEY")
	}
	if !found {
		return nil, action.NewRefusal(action.StatusNotFound, action.CodeNoRoute, "no route leads to this model or service")
	}
	if route.Access == config.AccessOpen {
		team = r.configuration.Teams[route.Team]
	}
	f := &flight{
		request: request,
		team:    team,
		route:   route,
		class:   r.configuration.Classes[route.Class],
		arrived: r.now,
		tried:   map[string]bool{},
	}
	return r.validateFlight(f)
}

// parseResumePoint sets the position from which the caller resumes a stream, if the
// request has a Last-Event-ID.
func (r *Router) parseResumePoint(f *flight) error {
	if f.request.LastEventID == "" {
		return nil
	}
	resumePoint, err := eventids.Parse(r.settings.Credential, f.team.Name, f.request.Fingerprint, f.request.LastEventID)
	if err != nil {
		return err
	}
	f.resumeFrom = &resumePoint
	return nil
}

// validateFlight refuses calls without a required Idempotency-Key, blocked requests,
// invalid resume positions, and requests above the team's burst.
func (r *Router) validateFlight(f *flight) (*flight, action.Refusal) {
	if !f.route.Repeatable && f.request.IdempotencyKey == "" {
		return nil, action.NewRefusal(action.StatusBadRequest, action.CodeIdempotencyKeyMissing, "this call may not be repeated; send an Idempotency-Key header with it")
	}
	if r.quarantine.State(r.now, f.request.Fingerprint) == quarantine.Blocked {
		return nil, blockedRefusal()
	}
	if err := r.parseResumePoint(f); err != nil {
		return nil, action.NewRefusal(action.StatusBadRequest, action.CodeInvalidRequest, "the Last-Event-ID is not of this request; send the request without it")
	}
	if f.cost() > f.team.Burst {
		return nil, action.NewRefusal(action.StatusTooLarge, action.CodeOverBurst, "the request needs more tokens than the team's burst; shorten the prompt or max_tokens")
	}
	return f, action.Refusal{}
}

func (r *Router) matchRoute(request event.RequestArrived) (config.Route, bool) {
	if request.Model != "" {
		return matcher.RouteForModel(r.configuration, request.Model, request.Class)
	}
	return matcher.RouteForService(r.configuration, request.Service, request.Path, request.Class)
}

func (r *Router) refuseRequest(request string, refusal action.Refusal) {
	entry := eventlog.New(eventlog.RequestRefused, request).With("code", refusal.Code).With("status", refusal.Status)
	r.log(entry.With("notRun", refusal.NotRun).With("retryAfter", refusal.RetryAfter))
	r.emit(action.Refuse{Request: request, Refusal: refusal})
}

// handleCallerDisconnected cancels the request of a caller that has disconnected,
// except while its call record is being written or a call that may not be repeated runs.
func (r *Router) handleCallerDisconnected(ev event.CallerDisconnected) {
	f, ok := r.flights[ev.Request]
	if !ok || f.callerDisconnected {
		return
	}
	f.callerDisconnected = true
	r.log(eventlog.New(eventlog.RequestAbandoned, f.id()).With("stage", f.stage))
	switch f.stage {
	case stageAcquiringTokens, stageIsolating, stageAwaitingChoice:
		r.refundAll(f)
		r.cancelRequest(f)
	case stageAwaitingInstances:
		r.cancelAwaitingInstances(f)
	case stageRunning:
		r.cancelRunning(f)
	}
}

// cancelRunning cancels the attempt of a request that may be repeated. A call that may
// not be repeated continues, so that its response is recorded for the caller's retry.
func (r *Router) cancelRunning(f *flight) {
	if !f.route.Repeatable {
		return
	}
	r.endAttempt(f, true)
	r.notifyAttemptEnded(f, -1)
	r.endInconclusiveIsolatedRun(f)
	r.cancelRequest(f)
}

// cancelAwaitingInstances cancels a request that waits for the instance list.
func (r *Router) cancelAwaitingInstances(f *flight) {
	r.refundAll(f)
	if !f.route.Repeatable {
		r.settleNotRun(f)
	}
	r.cancelRequest(f)
}

// cancelRequest cancels the request of a caller that has disconnected and removes its
// flight.
func (r *Router) cancelRequest(f *flight) {
	r.emit(action.CancelRequest{Request: f.id(), Attempt: f.attemptID})
	r.removeFlight(f)
}
