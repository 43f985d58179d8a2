package forwarder

import (
	"fmt"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/blamer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// The HTTP statuses of refusals.
const (
	statusUnauthorized = 401
	statusNotFound     = 404
	statusTooMany      = 429
	statusBadGateway   = 502
	statusUnavailable  = 503
	statusTimeout      = 504
)

// defaultTimeout bounds a request whose route and caller give no time.
const defaultTimeout = 30 * clock.Second

// arrive takes in a request: route, key, blame, limit, server.
func (f *Forwarder) arrive(request Request) {
	if _, ok := f.flights[request.ID]; ok {
		f.refuseAtDoor(request, statusUnavailable, ReasonBusy, comeBack)
		return
	}
	if len(f.flights) >= maxFlights {
		f.refuseAtDoor(request, statusUnavailable, ReasonBusy, comeBack)
		return
	}
	if f.state.Version == 0 || !f.listed {
		f.refuseAtDoor(request, statusUnavailable, ReasonNotReady, comeBack)
		return
	}
	route, found := f.state.Match(request.Host, request.Path)
	if !found {
		f.refuseUnknown(request, statusNotFound, ReasonNoRoute)
		return
	}
	team, known := f.state.TeamOf(request.Key)
	if f.state.Keyed() && !route.Open {
		if !known {
			f.refuseUnknown(request, statusUnauthorized, ReasonKey)
			return
		}
		if f.keysOld() {
			f.refuseAtDoor(request, statusUnavailable, ReasonStateOld, comeBack)
			return
		}
	}
	f.admit(request, route, team)
}

// refuseUnknown refuses what the desired state does not know. One that may be out
// of date says nothing final.
func (f *Forwarder) refuseUnknown(request Request, status int, reason Reason) {
	if !f.stateFresh() {
		f.refuseAtDoor(request, statusUnavailable, ReasonStateOld, comeBack)
		return
	}
	f.refuseAtDoor(request, status, reason, 0)
}

func (f *Forwarder) admit(request Request, route desired.Route, team desired.Team) {
	service := route.Service(request.Spread)
	f.budget.Request(f.now, service)
	if f.blame.State(f.now, request.Fingerprint) == blamer.Blocked {
		f.refuseAtDoor(request, statusUnavailable, ReasonCrashes, f.site.Bounds.RetryWindow)
		return
	}
	fl := &flight{
		request: request, route: route, service: service, team: team,
		arrived: f.now, end: f.now.Add(f.timeFor(request, route)),
		tried: map[string]bool{}, lastEvent: request.LastEvent,
	}
	if team.Rate > 0 {
		fl.cost = team.Cost(request.Prompt + request.Output)
		if !f.shares.Take(f.now, team.Name, fl.cost) {
			wait := f.shares.Wait(f.now, team.Name, fl.cost)
			entry := journal.New(journal.TokensRefused, request.ID).With("team", team.Name).With("tokens", fl.cost).With("rate", team.Rate).With("burst", team.Burst)
			f.log(entry.With("level", f.shares.Level(f.now, team.Name)).With("part", fmt.Sprintf("%.2f", f.shares.Part())))
			f.refuseAtDoor(request, statusTooMany, ReasonRate, max(wait, 100*clock.Millisecond)+clock.Millis(f.spread(int64(comeBack))))
			return
		}
	}
	f.flights[fl.id()] = fl
	f.place(fl)
}

// timeFor returns the time in which the request must have its final answer.
func (f *Forwarder) timeFor(request Request, route desired.Route) clock.Millis {
	span := defaultTimeout
	if route.Timeout > 0 {
		span = route.Timeout
	}
	if request.Patience > 0 {
		span = min(span, request.Patience)
	}
	return span
}

func (f *Forwarder) refuseAtDoor(request Request, status int, reason Reason, retryAfter clock.Millis) {
	entry := journal.New(journal.RequestRefused, request.ID).With("code", reason).With("status", status)
	entry = entry.With("notRun", true).With("retryAfter", retryAfter).With("stateVersion", f.state.Version)
	f.log(entry.With("stateAge", f.now.Since(f.stateAt)))
	f.emit(Refuse{Request: request.ID, Status: status, Reason: reason, RetryAfter: retryAfter})
}

// refuse ends a flight with the system's own answer. A request that has certainly
// not run gives its tokens back.
func (f *Forwarder) refuse(fl *flight, reason Reason, retryAfter clock.Millis) {
	status := statusUnavailable
	if fl.ran > 0 {
		status = statusBadGateway
		if reason == ReasonTimeout {
			status = statusTimeout
		}
	}
	entry := journal.New(journal.RequestRefused, fl.id()).With("code", reason).With("status", status).With("notRun", fl.ran == 0)
	entry = entry.With("retryAfter", retryAfter).With("attempts", fl.attempt).With("server", fl.server)
	f.log(entry.With("after", f.now.Since(fl.arrived)).With("passed", fl.passed))
	f.emit(Measure{What: MeasuredRefusal, Span: f.now.Since(fl.arrived)})
	if fl.ran == 0 && fl.cost > 0 {
		f.shares.Return(fl.team.Name, fl.cost)
	}
	f.forget(fl)
	switch {
	case fl.abandoned:
		f.emit(Drop{Request: fl.id()})
	case fl.passed:
		f.emit(Break{Request: fl.id()})
	default:
		f.emit(Refuse{Request: fl.id(), Status: status, Reason: reason, RetryAfter: retryAfter})
	}
}

func (f *Forwarder) forget(fl *flight) {
	f.places.End(fl.id())
	delete(f.flights, fl.id())
}

// abandon takes in that the caller has gone. What may run once at most goes on, as
// ending it would leave its outcome open.
func (f *Forwarder) abandon(id string) {
	fl, ok := f.flights[id]
	if !ok || fl.abandoned {
		return
	}
	f.log(journal.New(journal.RequestAbandoned, id).With("server", fl.server).With("sending", fl.sending).With("after", f.now.Since(fl.arrived)))
	fl.abandoned = true
	if fl.sending && fl.route.Kind == desired.Unsafe {
		return
	}
	f.cancel(fl)
	f.forget(fl)
	f.emit(Drop{Request: id})
}

// cancel ends the current attempt.
func (f *Forwarder) cancel(fl *flight) {
	if fl.sending {
		fl.sending = false
		f.emit(CancelAttempt{Request: fl.id(), Attempt: fl.attempt})
	}
}
