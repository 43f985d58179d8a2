package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/blamer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/authenticator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/matcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/stamper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// comeBack is when a caller may come back after a refusal that has no better
// estimate.
const comeBack = clock.Second

// arrive takes in a request: key, route, class, and the first draw of tokens.
func (r *Router) arrive(request event.RequestArrived) {
	if refusal, refused := r.refuseAtDoor(request); refused {
		r.refuseRequest(request.Request, refusal)
		return
	}
	f, refusal := r.admit(request)
	if f == nil {
		r.refuseRequest(request.Request, refusal)
		return
	}
	entry := journal.New(journal.RequestReceived, f.id()).With("team", f.team.Name).With("route", f.route.Name)
	r.log(entry.With("class", f.class.Name).With("tokens", f.cost()))
	r.flights[f.id()] = f
	r.beginDraws(f)
}

func (r *Router) refuseAtDoor(request event.RequestArrived) (action.Refusal, bool) {
	if _, ok := r.flights[request.Request]; ok {
		return action.Refused(action.StatusConflict, action.CodeInvalidRequest, "a request with this identifier is in flight"), true
	}
	if len(r.flights) >= r.settings.MaxInFlight {
		refusal := action.Refused(action.StatusServiceUnavailable, action.CodeTooManyRequests, "this instance has too many requests in flight")
		return refusal.WithRetryAfter(comeBack), true
	}
	if !r.ready() {
		refusal := action.Refused(action.StatusServiceUnavailable, action.CodeNotReady, "this instance has no configuration yet")
		return refusal.WithRetryAfter(comeBack), true
	}
	return action.Refusal{}, false
}

// admit returns the flight of a request that has a route and a team, or the
// refusal.
func (r *Router) admit(request event.RequestArrived) (*flight, action.Refusal) {
	team, known := authenticator.Team(r.configuration, r.manifest.Salt, request.Key)
	if _, ok := r.configuration.Classes[request.Class]; request.Class != "" && !ok {
		return nil, action.Refused(action.StatusBadRequest, action.CodeUnknownClass, "the class "+request.Class+" is not configured")
	}
	route, found := r.match(request)
	if !known && (!found || route.Access != config.AccessOpen) {
		return nil, action.Refused(action.StatusUnauthorized, action.CodeInvalidKey, "the key is missing, unknown or withdrawn; send a valid one as Authorization: Bearer KEY")
	}
	if !found {
		return nil, action.Refused(action.StatusNotFound, action.CodeNoRoute, "no route leads to this model or service")
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
	return r.checkFlight(f)
}

// checkResume reads where a lost stream shall go on.
func (r *Router) checkResume(f *flight) error {
	if f.request.LastEvent == "" {
		return nil
	}
	place, err := stamper.Read(r.settings.Credential, f.team.Name, f.request.Fingerprint, f.request.LastEvent)
	if err != nil {
		return err
	}
	f.from = &place
	return nil
}

func (r *Router) checkFlight(f *flight) (*flight, action.Refusal) {
	if !f.route.Repeatable && f.request.IdempotencyKey == "" {
		return nil, action.Refused(action.StatusBadRequest, action.CodeKeyMissing, "this call may not be repeated; send an Idempotency-Key header with it")
	}
	if r.blame.State(r.now, f.request.Fingerprint) == blamer.Convicted {
		return nil, convicted()
	}
	if err := r.checkResume(f); err != nil {
		return nil, action.Refused(action.StatusBadRequest, action.CodeInvalidRequest, "the Last-Event-ID is not of this request; send the request without it")
	}
	if f.cost() > f.team.Burst {
		return nil, action.Refused(action.StatusTooLarge, action.CodeOverBurst, "the request needs more tokens than the team's burst; shorten the prompt or max_tokens")
	}
	return f, action.Refusal{}
}

func (r *Router) match(request event.RequestArrived) (config.Route, bool) {
	if request.Model != "" {
		return matcher.Model(r.configuration, request.Model, request.Class)
	}
	return matcher.Service(r.configuration, request.Service, request.Path, request.Class)
}

func (r *Router) refuseRequest(request string, refusal action.Refusal) {
	entry := journal.New(journal.RequestRefused, request).With("code", refusal.Code).With("status", refusal.Status)
	r.log(entry.With("notRun", refusal.NotRun).With("retryAfter", refusal.RetryAfter))
	r.emit(action.Refuse{Request: request, Refusal: refusal})
}

// abandon takes in that the caller has gone.
func (r *Router) abandon(happened event.RequestAbandoned) {
	f, ok := r.flights[happened.Request]
	if !ok || f.abandoned {
		return
	}
	f.abandoned = true
	r.log(journal.New(journal.RequestAbandoned, f.id()).With("stage", f.stage))
	switch f.stage {
	case stageDrawing, stageIsolating, stageChoosing:
		r.refundAll(f)
		r.cancel(f)
	case stageListing:
		r.abandonListing(f)
	case stageRunning:
		r.abandonRunning(f)
	}
}

// abandonRunning cancels an attempt that may be repeated. One that may not goes
// on, so that its answer is recorded for the caller's next try.
func (r *Router) abandonRunning(f *flight) {
	if !f.route.Repeatable {
		return
	}
	r.endAttempt(f, true)
	r.endWork(f, -1)
	r.endFailedAlone(f)
	r.cancel(f)
}

// abandonListing ends a flight that waits for the instance list.
func (r *Router) abandonListing(f *flight) {
	r.refundAll(f)
	if !f.route.Repeatable {
		r.settleNotRun(f)
	}
	r.cancel(f)
}

// cancel ends a flight whose caller has gone.
func (r *Router) cancel(f *flight) {
	r.emit(action.Cancel{Request: f.id(), Attempt: f.attempt})
	r.end(f)
}
