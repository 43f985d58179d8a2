package forwarder

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// beginMargin is the time from the withdrawal of a request to the age limit of weights: the
	// cancellation must reach the server, and a peer's age may be too small by a stall that goes unnoticed.
	beginMargin = 250*clock.Millisecond + maxStall
	// sendMargin is added for a request that is yet to be sent: a connect takes as long at most.
	sendMargin = 250 * clock.Millisecond
	// maxWithdrawalInterval is the time between two checks if no limit is known.
	maxWithdrawalInterval = clock.Second
)

// attemptPlan has the weights and the times of an attempt.
type attemptPlan struct {
	// weights are those at the server.
	weights boundWeights
	// serverTimeout is the time that the server gets for the response, and sendBefore the time from which
	// the request must not be sent.
	serverTimeout clock.Millis
	sendBefore    clock.Millis
}

// beginLimit returns the time until which a request may begin on the weights. It reports false if they
// are the newest.
func (f *Forwarder) beginLimit(weights boundWeights) (clock.Millis, bool) {
	supersededAt, superseded := f.supersededAt(weights)
	return supersededAt.Add(f.settings.Bounds.MaxWeightsAge - beginMargin), superseded
}

// limitBeginning limits the time until the request must start at the candidate, and reports whether it
// may be sent there.
func (f *Forwarder) limitBeginning(fl *flight, candidate *scheduler.Candidate, weights boundWeights) bool {
	limit, limited := f.beginLimit(weights)
	if !limited {
		return true
	}
	left := limit.Since(f.now) - sendMargin
	if fl.route.Kind != desired.Stream {
		// It will not be known whether the request has begun, so that it must be complete.
		left -= f.runTime(fl)
	}
	candidate.MaxStartDelayMs = float64(left)
	return left > 0
}

// runTime returns the time that the request may take at a server once it has begun.
func (f *Forwarder) runTime(fl *flight) clock.Millis {
	if fl.route.Kind != desired.Stream {
		return withReserve(f.responseTime(fl))
	}
	_, longest := f.streamTimes(fl)
	return withReserve(longest)
}

// planAttempt returns the times for an attempt at the selected server. The first event of a stream marks its
// beginning; other responses have no such mark, so that their server gets a deadline before the limit of its
// weights, or before the earliest one if they are the newest. A stream gets all the time that is left, as a
// deadline would also end it after it has begun.
func (f *Forwarder) planAttempt(fl *flight, choice scheduler.Choice) attemptPlan {
	server, _ := f.servers.Server(choice.Server)
	plan := attemptPlan{weights: fl.weightsAt(server), serverTimeout: fl.remaining(f.now), sendBefore: f.sendBefore(fl)}
	if len(plan.weights.versions) == 0 {
		return plan
	}
	limit, limited := f.beginLimit(plan.weights)
	if fl.route.Kind == desired.Stream {
		if limited {
			plan.sendBefore = min(plan.sendBefore, limit)
		}
		return plan
	}
	if !limited {
		limit = f.now.Add(f.settings.Bounds.MaxWeightsAge - beginMargin)
		if f.runTime(fl) > limit.Since(f.now)-sendMargin {
			// It could never be completed, although newer weights seldom follow.
			return plan
		}
	}
	plan.serverTimeout = min(plan.serverTimeout, limit.Since(f.now)-sendMargin)
	plan.sendBefore = min(plan.sendBefore, limit.Add(-plan.serverTimeout))
	return plan
}

// scheduleWithdrawal lets withdrawLate look at an attempt when it must have begun.
func (f *Forwarder) scheduleWithdrawal(weights boundWeights) {
	if limit, limited := f.beginLimit(weights); limited {
		f.nextWithdrawal = min(f.nextWithdrawal, limit)
	}
}

// withdrawLate withdraws the requests that have not begun before the limit of their server's weights.
// A stream that is withdrawn may have begun a moment ago. Those of which the caller has a part go on first.
func (f *Forwarder) withdrawLate() {
	if f.now < f.nextWithdrawal {
		return
	}
	f.nextWithdrawal = f.now.Add(maxWithdrawalInterval)
	var late []*flight
	for _, fl := range f.flights {
		begins, waits := f.waitingUntil(fl)
		switch {
		case !waits:
		case f.now >= begins:
			late = append(late, fl)
		default:
			f.nextWithdrawal = min(f.nextWithdrawal, begins)
		}
	}
	slices.SortFunc(late, func(a, b *flight) int {
		if a.partDelivered != b.partDelivered {
			if a.partDelivered {
				return -1
			}
			return 1
		}
		return compareUrgency(a, b)
	})
	for _, fl := range late {
		f.withdraw(fl)
	}
}

// waitingUntil returns the earliest limit of the attempts of a stream that have not begun. Of other
// responses it is unknown whether they have. It reports false if there is no limit.
func (f *Forwarder) waitingUntil(fl *flight) (clock.Millis, bool) {
	if fl.route.Kind != desired.Stream {
		return 0, false
	}
	limit, limited := clock.Millis(0), false
	if fl.attemptActive && !fl.streamStarted {
		limit, limited = f.beginLimit(fl.weights)
	}
	if fl.alternative != nil {
		if other, also := f.beginLimit(fl.alternative.weights); also && (!limited || other < limit) {
			limit, limited = other, true
		}
	}
	return limit, limited
}

// pastLimit reports whether nothing may begin any more on the weights.
func (f *Forwarder) pastLimit(weights boundWeights) bool {
	limit, limited := f.beginLimit(weights)
	return limited && f.now >= limit
}

// withdraw cancels the attempts of the request that have not begun in time. It goes on at another
// server, if that is possible.
func (f *Forwarder) withdraw(fl *flight) {
	if other := fl.alternative; other != nil && f.pastLimit(other.weights) {
		f.logWithdrawal(fl, other.server, other.number, other.weights)
		f.dropAlternative(fl)
		if !fl.streamStarted {
			fl.checkAt = min(fl.deadline, f.now.Add(silenceCheckInterval))
		}
	}
	if !fl.attemptActive || fl.streamStarted || !f.pastLimit(fl.weights) {
		return
	}
	f.logWithdrawal(fl, fl.server, fl.attempt, fl.weights)
	f.emit(CancelAttempt{Request: fl.id(), Attempt: fl.attempt})
	fl.attemptActive = false
	fl.supersededRuns++
	// Its connect may end by the cancellation, which says nothing about the server.
	delete(fl.ways, fl.attempt)
	switch {
	case fl.alternative != nil:
		f.replaceAttempt(fl)
	case fl.resumable():
		f.endAttempt(fl, fl.attempt)
		f.retryOrRefuse(fl)
	default:
		f.refuse(fl, ReasonSupersededWeights, f.jitteredRetryAfter())
	}
}

func (f *Forwarder) logWithdrawal(fl *flight, server string, attempt int, weights boundWeights) {
	entry := eventlog.New(eventlog.AttemptWithdrawn, fl.id()).With("server", server).With("attempt", attempt)
	f.log(f.withWeights(entry, weights).With("passed", fl.partDelivered).With("after", f.now.Since(fl.arrivedAt)))
}
