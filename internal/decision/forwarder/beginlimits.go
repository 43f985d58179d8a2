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
	// cancellation must reach the server.
	beginMargin = 250 * clock.Millisecond
	// sendMargin is added for a request that is yet to be sent.
	sendMargin = 250 * clock.Millisecond
	// limitedSendWindow replaces sendWindow for a request with a shorter deadline at the server: the
	// server counts it from the arrival.
	limitedSendWindow = 150 * clock.Millisecond
)

// weightsRun is the run of a request on a version of the weights, 0 without a prompt.
type weightsRun struct {
	version int64
	// timeout is the time that the server has for the response, which ends at endsAt, and sendBefore the
	// time from which the request must not be sent.
	timeout    clock.Millis
	endsAt     clock.Millis
	sendBefore clock.Millis
}

// beginLimit returns the time until which a request may begin on the version of the weights. It
// reports false if the version is the newest.
func (f *Forwarder) beginLimit(model string, version int64) (clock.Millis, bool) {
	supersededAt, superseded := f.rollout.SupersededAt(model, version)
	return supersededAt.Add(f.settings.Bounds.MaxWeightsAge - beginMargin), superseded
}

// limitBeginning limits the time until the request must start at the candidate, and reports whether it
// may be sent there.
func (f *Forwarder) limitBeginning(fl *flight, candidate *scheduler.Candidate, version int64) bool {
	limit, limited := f.beginLimit(fl.request.Model, version)
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

// planRun returns the run of the request at the chosen server. If the response to one that may not be
// repeated fits into the time before the limit of the weights, the server gets no more time: only its own
// refusal proves that the request has not run.
func (f *Forwarder) planRun(fl *flight, choice scheduler.Choice) weightsRun {
	run := weightsRun{timeout: fl.remaining(f.now), sendBefore: f.sendBefore(fl)}
	if fl.hasPrompt() {
		server, _ := f.servers.Server(choice.Server)
		run.version = server.Entry.WeightVersions[fl.request.Model]
		if limit, limited := f.beginLimit(fl.request.Model, run.version); limited {
			run.sendBefore = min(run.sendBefore, limit)
			left := limit.Since(f.now)
			if needed := clock.Millis(choice.StartMs()) + f.runTime(fl); !fl.resumable() && left < run.timeout && needed <= left {
				run.timeout, run.sendBefore = left, min(run.sendBefore, f.now.Add(limitedSendWindow))
			}
		}
	}
	run.endsAt = f.now.Add(run.timeout)
	return run
}

// withdrawLate withdraws the requests that have not begun before the limit of their server's weights.
// A stream that is withdrawn may have begun a moment ago.
func (f *Forwarder) withdrawLate() {
	if f.now < f.nextWithdrawal {
		return
	}
	f.nextWithdrawal = f.now.Add(maxTickInterval)
	var late []*flight
	for _, fl := range f.flights {
		for _, run := range fl.waitingRuns() {
			limit, limited := f.beginLimit(fl.request.Model, run.version)
			switch {
			case !limited || run.endsAt <= limit:
			case f.now >= limit:
				late = append(late, fl)
			default:
				f.nextWithdrawal = min(f.nextWithdrawal, limit)
			}
		}
	}
	slices.SortFunc(late, compareUrgency)
	for _, fl := range slices.Compact(late) {
		f.withdraw(fl)
	}
}

// beginsTooLate reports whether a run that has not begun must be withdrawn.
func (f *Forwarder) beginsTooLate(fl *flight, run weightsRun) bool {
	limit, limited := f.beginLimit(fl.request.Model, run.version)
	return limited && f.now >= limit && run.endsAt > limit
}

// waitingRuns returns the runs of a stream that have not begun. Of other responses it is unknown.
func (fl *flight) waitingRuns() []weightsRun {
	var runs []weightsRun
	if !fl.hasPrompt() || fl.route.Kind != desired.Stream {
		return nil
	}
	if fl.attemptActive && !fl.streamStarted {
		runs = append(runs, fl.weights)
	}
	if fl.alternative != nil {
		runs = append(runs, fl.alternative.weights)
	}
	return runs
}

// withdraw cancels the attempts of the request that have not begun in time. It goes on at another
// server, if that is possible.
func (f *Forwarder) withdraw(fl *flight) {
	if other := fl.alternative; other != nil && f.beginsTooLate(fl, other.weights) {
		f.logWithdrawal(fl, other.server, other.number, other.weights)
		f.dropAlternative(fl)
	}
	if !fl.attemptActive || fl.streamStarted || !f.beginsTooLate(fl, fl.weights) {
		return
	}
	f.logWithdrawal(fl, fl.server, fl.attempt, fl.weights)
	f.emit(CancelAttempt{Request: fl.id(), Attempt: fl.attempt})
	fl.attemptActive = false
	fl.supersededRuns++
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

func (f *Forwarder) logWithdrawal(fl *flight, server string, attempt int, run weightsRun) {
	entry := eventlog.New(eventlog.AttemptWithdrawn, fl.id()).With("server", server).With("attempt", attempt)
	f.log(f.withWeights(entry, fl.request.Model, run.version).With("passed", fl.partDelivered).With("after", f.now.Since(fl.arrivedAt)))
}
