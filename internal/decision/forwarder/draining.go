package forwarder

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/paceestimator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// stopSafetyFactor and stopSafetyMargin are the reserve in the estimate of a request's duration. A
	// sound server may be silent for about a second.
	stopSafetyFactor = 2
	stopSafetyMargin = clock.Second
	// streamReservePercent is the smaller reserve where a refusal costs more: while the instance listens,
	// for the only instance, and from the first event on.
	streamReservePercent = 150
	// unknownDuration is assumed for a service that has sent no response yet.
	unknownDuration = 2 * clock.Second
	// otherInstanceRetryAfter is the least delay before a refused request is sent to another instance.
	otherInstanceRetryAfter = 50 * clock.Millisecond
	// orderReserve is the time before the end of the process in which it orders nothing more: the
	// lease lasts about as long, and orders and their replies are under way.
	orderReserve = clock.Second
	// restartTime is the usual time from the end of this process until the next one serves callers.
	restartTime = clock.Second
)

// drainState is the state of an instance that drains.
type drainState struct {
	draining bool
	// drainingSince is the beginning of the drain, listenUntil the time until which connections are
	// accepted, and stopAt that until which the process can complete requests. Then drainExpired is set.
	drainingSince, listenUntil, stopAt clock.Millis
	drainExpired                       bool
	// paces has the times of the servers, also before a drain.
	paces *paceestimator.Estimator
}

func newDrainState() drainState { return drainState{paces: paceestimator.New()} }

func (f *Forwarder) handleDrainRequested(event DrainRequested) {
	f.draining, f.drainingSince, f.listenUntil, f.stopAt = true, f.now, event.ListenUntil, event.StopAt
	for _, fl := range f.flights {
		fl.deadline = f.beforeStop(fl.deadline)
		fl.checkAt = min(fl.checkAt, fl.deadline)
	}
	f.log(eventlog.New(eventlog.InstanceDraining, "").With("inFlight", len(f.flights)).With("stopsIn", f.stopAt.Since(f.now)))
}

// beforeStop limits a deadline to the time at which the instance stops.
func (f *Forwarder) beforeStop(deadline clock.Millis) clock.Millis {
	if f.draining {
		return min(deadline, f.stopAt)
	}
	return deadline
}

func (f *Forwarder) logArrivalInDrain(request Request) {
	entry := eventlog.New(eventlog.ArrivedInDrain, request.ID).With("drainingFor", f.now.Since(f.drainingSince))
	f.log(entry.With("connection", request.Connection).With("requests", request.ConnectionRequests).With("connectionAge", request.ConnectionAge))
}

// arrivedInDrain reports whether the request arrived when this instance was stopping, so that
// another one could have taken it.
func (f *Forwarder) arrivedInDrain(fl *flight) bool {
	return f.draining && fl.arrivedAt >= f.drainingSince
}

// otherServes reports whether a caller that is refused here finds another instance.
func (f *Forwarder) otherServes() bool {
	for _, n := range f.neighbors {
		if n.reachable(f.now) && !n.leaving {
			return true
		}
	}
	return false
}

// mustNotWait reports whether the request is refused rather than made to wait here.
func (f *Forwarder) mustNotWait(fl *flight) bool {
	return f.arrivedInDrain(fl) && !fl.partDelivered && f.otherServes()
}

// fitsBeforeStop reports whether the response to the request is expected to be complete before this
// instance stops. While it listens, a caller that is refused may be sent here once more, so that most
// responses must fit. Afterwards the longest must, with a reserve, and the pace of the servers must be known: a
// stream that is cut helps its caller no more than a refusal, and a caller that finds another instance
// loses little.
func (f *Forwarder) fitsBeforeStop(fl *flight, choice scheduler.Choice) bool {
	if !f.draining || fl.partDelivered {
		return true
	}
	left, listening := f.stopAt.Since(f.now), f.now < f.listenUntil
	if fl.route.Kind != desired.Stream {
		needed := f.responseTime(fl)
		if !listening && f.otherServes() {
			needed = withStopReserve(needed)
		}
		return needed <= left
	}
	start := clock.Millis(choice.CostMs)
	usual, longest := f.streamTimes(fl)
	switch {
	case listening:
		return withReserve(start+usual) <= left
	case f.otherServes():
		return f.paces.PaceCurrent(f.now, fl.service) && withStopReserve(start+longest) <= left
	default:
		return withReserve(start+longest) <= left
	}
}

// responseTime returns the expected time of a whole response to the request.
func (f *Forwarder) responseTime(fl *flight) clock.Millis {
	if response, known := f.paces.ResponseTime(fl.service); known {
		return response
	}
	return unknownDuration
}

// streamTimes returns the expected time from the first event to the end of the request's stream, for
// one of average length and for the longest.
func (f *Forwarder) streamTimes(fl *flight) (usual, longest clock.Millis) {
	if usual, longest, known := f.paces.StreamTimes(fl.service, fl.request.OutputTokens); known {
		return usual, longest
	}
	return unknownDuration, unknownDuration
}

// withStopReserve returns the time that a response is given if it is expected to take a time and another
// instance serves.
func withStopReserve(expected clock.Millis) clock.Millis {
	return expected*stopSafetyFactor + stopSafetyMargin
}

// withReserve returns the time that a stream is given if it is expected to take a time.
func withReserve(expected clock.Millis) clock.Millis { return expected * streamReservePercent / 100 }

// mayBegin reports whether a stream whose first event has arrived is passed on. One that would be cut
// is refused before: the caller learns it at once and has nothing that it must drop.
func (f *Forwarder) mayBegin(fl *flight) bool {
	if !f.draining || fl.partDelivered {
		return true
	}
	left := f.stopAt.Since(f.now)
	usual, longest := f.streamTimes(fl)
	switch {
	case !f.arrivedInDrain(fl) || fl.arrivedAt < f.listenUntil:
		return usual <= left
	case f.otherServes() && !f.paces.PaceCurrent(f.now, fl.service):
		return withStopReserve(longest) <= left
	default:
		return withReserve(longest) <= left
	}
}

// mayOrderInStop reports whether this instance still orders engines while it stops: it holds the lease,
// which it does not acquire again, and lives to see the result. A successor would have to wait
// for the lease and the handover.
func (f *Forwarder) mayOrderInStop() bool {
	return f.rollout.HoldsLease(f.now) && f.stopAt.Since(f.now) > orderReserve
}

// handleStreamProgressed records the pace of a stream that is still running.
func (f *Forwarder) handleStreamProgressed(event StreamProgressed) {
	fl, ok := f.currentAttempt(event.Request, event.Attempt)
	if !ok || !fl.streamStarted {
		return
	}
	f.paces.RecordEvents(f.now, fl.service, event.Events-fl.progressEvents, f.now.Since(fl.progressAt))
	fl.progressAt, fl.progressEvents = f.now, event.Events
}

// recordPace records how long the server took for a response that is complete.
func (f *Forwarder) recordPace(fl *flight, event AttemptEnded) {
	switch {
	case event.Outcome != OutcomeCompleted || event.Status >= statusInternalError:
	case fl.streamStarted:
		f.paces.RecordEvents(f.now, fl.service, event.Events-fl.progressEvents, f.now.Since(fl.progressAt))
		if fl.request.LastEventID == "" && fl.attempts == 1 {
			f.paces.RecordStream(f.now, fl.service, fl.request.OutputTokens, event.Events)
		}
	default:
		// An alternative that has taken the place of the current attempt has no way any more.
		if used, ok := fl.ways[event.Attempt]; ok {
			f.paces.RecordResponse(f.now, fl.service, f.now.Since(used.beganAt))
		}
	}
}

// refuseExpired refuses a request that has reached its deadline, or the end of this instance.
func (f *Forwarder) refuseExpired(fl *flight) {
	if f.draining && f.now >= f.stopAt {
		f.refuse(fl, ReasonStopping, f.stoppingRetryAfter())
		return
	}
	f.refuse(fl, ReasonTimeout, 0)
}

// handleDrainExpired refuses the requests in flight: the process ends before they can be
// completed, and a closed connection would not tell their callers whether they have run.
func (f *Forwarder) handleDrainExpired() {
	f.drainExpired = true
	var remaining []*flight
	for _, fl := range f.flights {
		remaining = append(remaining, fl)
	}
	slices.SortFunc(remaining, compareUrgency)
	for _, fl := range remaining {
		f.cancelAttempts(fl)
		f.refuse(fl, ReasonStopping, f.stoppingRetryAfter())
	}
}

// stoppingRetryAfter returns the delay before a request is sent again, to another instance or to
// the next process, in milliseconds.
func (f *Forwarder) stoppingRetryAfter() clock.Millis {
	if f.otherServes() {
		return otherInstanceRetryAfter + clock.Millis(f.jitter(int64(2*otherInstanceRetryAfter)))
	}
	return max(0, f.stopAt.Since(f.now)) + restartTime + clock.Millis(f.jitter(int64(restartTime)))
}
