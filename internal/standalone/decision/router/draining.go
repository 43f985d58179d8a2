package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// EndReserve is the time between workEnd and the end of the process, in which the last responses
	// are delivered and the records of calls are settled.
	EndReserve = 500 * clock.Millisecond
	// minDrainRetryAfter and drainRetryAfterSpread are the Retry-After of requests that another
	// instance can serve, spread so that callers do not return together.
	minDrainRetryAfter    = 50 * clock.Millisecond
	drainRetryAfterSpread = 100
)

// startDrain starts the shutdown of a process that ends after the timeout: it notifies the peers and
// releases the leases that another instance can take. Requests in flight and requests that still
// arrive are served until workEnd.
func (r *Router) startDrain(timeout clock.Millis) {
	if r.draining {
		return
	}
	r.draining = true
	r.workEnd = r.now.Add(timeout - EndReserve)
	r.scheduleAt(r.workEnd, workEndTimer{})
	r.log(eventlog.New(eventlog.InstanceDraining, "").With("inFlight", len(r.flights)).With("stopsIn", r.workEnd.Since(r.now)))
	r.broadcastHeartbeat()
	r.advanceLeases()
}

// keepsLeases reports whether a draining instance keeps its leases: no other one can grant tokens, and
// callers may still send requests.
func (r *Router) keepsLeases() bool {
	return !r.callersGone && r.now < r.workEnd && !r.otherServes()
}

// endWork ends the requests and the operators' operations that are left.
func (r *Router) endWork() {
	for _, id := range slices.Sorted(maps.Keys(r.operations)) {
		r.finishOperation(id, r.operations[id].unfinishedResult())
	}
	for _, id := range slices.Sorted(maps.Keys(r.flights)) {
		r.interrupted++
		r.endUnfinished(r.flights[id])
	}
	r.advanceLeases()
}

// workEnded reports whether this process begins nothing more.
func (r *Router) workEnded() bool {
	return r.stopped || (r.draining && r.now >= r.workEnd)
}

// stoppingResult returns the result of an operation that has changed nothing.
func stoppingResult() action.OperationResult {
	return action.OperationResult{Outcome: action.OperationFailed, Message: "this instance stops; nothing was changed: use another instance"}
}

// unfinishedResult returns the result of an operation for which no time is left.
func (o *operation) unfinishedResult() action.OperationResult {
	switch {
	case o.change != nil && o.change.GiveUp().MayTakeEffect:
		return action.OperationResult{Outcome: action.OperationUnknown, Message: "this instance stops; the change may have taken effect: look with config show at another instance"}
	case o.resolution != nil && o.resolution.written:
		return action.OperationResult{Outcome: action.OperationUnknown, Message: "this instance stops; the call may be resolved: list the calls again at another instance"}
	default:
		return stoppingResult()
	}
}

// endUnfinished ends a request for which no time is left.
func (r *Router) endUnfinished(f *flight) {
	switch {
	case f.stage == stageSettling:
		rec, step := f.recorder.Settle(f.recorder.Record().State, f.response, r.now.Add(settleTimeout))
		r.continueSettling(f.id(), rec, step)
		r.respond(f)
	case f.stage == stageRunning:
		r.endRunning(f)
	default:
		r.refuseLate(f)
	}
}

// refuseLate ends a request that has no attempt in progress and gets no other one.
func (r *Router) refuseLate(f *flight) {
	r.endInconclusiveIsolatedRun(f)
	r.notifyAttemptEnded(f, -1)
	if !f.possiblySent {
		r.refuseUnsent(f)
		return
	}
	if !f.partiallyDelivered {
		r.refundAll(f)
	}
	r.refuse(f, r.unfinishedRefusal(f))
}

// endRunning ends a request whose attempt is in progress.
func (r *Router) endRunning(f *flight) {
	r.emit(action.CancelAttempt{Request: f.id(), Attempt: f.attemptID})
	r.endAttempt(f, true)
	r.notifyAttemptEnded(f, -1)
	r.endInconclusiveIsolatedRun(f)
	if !f.route.Repeatable {
		r.settleInBackground(f, recorder.StateUnknown)
		r.refuse(f, r.unfinishedRefusal(f).WithRetryAfter(0))
		return
	}
	r.refuse(f, r.unfinishedRefusal(f))
}

// refuseUnsent refuses a request of which no server has received anything.
func (r *Router) refuseUnsent(f *flight) {
	r.refundAll(f)
	if !f.route.Repeatable && f.stage != stageAcquiringTokens {
		r.settleNotRun(f)
	}
	r.refuse(f, r.StoppingRefusal(f.id()))
}

// StoppingRefusal returns the refusal of a request that is not run because this instance stops.
func (r *Router) StoppingRefusal(request string) action.Refusal {
	refusal := action.NewRefusal(action.StatusServiceUnavailable, action.CodeDraining, "this instance stops before it could complete the request; it was not run")
	return refusal.WithRetryAfter(r.drainRetryAfter(request))
}

func (r *Router) unfinishedRefusal(f *flight) action.Refusal {
	refusal := action.NewRefusal(action.StatusBadGateway, action.CodeDraining, "the instance stopped before the request was complete; it may have run")
	return refusal.WithMayHaveRun().WithRetryAfter(r.drainRetryAfter(f.id()))
}

// drainRetryAfter returns the Retry-After of a request that this instance can no longer serve: short
// if another instance serves, otherwise until this process has ended and may be back.
func (r *Router) drainRetryAfter(request string) clock.Millis {
	if r.otherServes() {
		return minDrainRetryAfter + clock.Millis(balancer.Rendezvous(0, request)%drainRetryAfterSpread)
	}
	return max(0, r.workEnd.Since(r.now)) + EndReserve + defaultRetryAfter
}

// stopWhenDrained stops the instance when no request, operation, call record or lease is left.
func (r *Router) stopWhenDrained() {
	if !r.draining || r.stopped || len(r.flights) > 0 || len(r.operations) > 0 || len(r.settling) > 0 || r.holdsAnyLease() {
		return
	}
	r.stopped = true
	r.log(eventlog.New(eventlog.InstanceStopped, "").With("interrupted", r.interrupted))
	r.emit(action.Stop{Interrupted: r.interrupted})
}

func (r *Router) holdsAnyLease() bool {
	for shard := range r.leases {
		if r.leases[shard].Held(r.now) {
			return true
		}
	}
	return false
}
