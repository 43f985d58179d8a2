package forwarder

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// serverPollInterval is the time between two attempts to assign a waiting request
	// to a server.
	serverPollInterval = 20 * clock.Millisecond
	// waitDivisor sets the longest wait of a request to its remaining time divided by
	// this: it is not known how soon a server will be available.
	waitDivisor = 4
	// maxWait limits that wait to the time of some loads of weights.
	maxWait = clock.Second
)

// waitForServer makes a request wait for a server that will be available again soon; if
// none will, it is refused at once.
func (f *Forwarder) waitForServer(fl *flight) {
	if fl.waitDeadline == 0 {
		fl.waitDeadline = f.waitLimit(fl)
	}
	if f.mustNotWait(fl) {
		f.refuse(fl, ReasonStopping, f.stoppingRetryAfter())
		return
	}
	if !f.serverExpected(fl) || f.now >= fl.waitDeadline {
		f.refuse(fl, ReasonNoServer, f.retryAfter(fl))
		return
	}
	fl.waiting = true
	fl.checkAt = f.now.Add(serverPollInterval)
}

// waitLimit returns the time until which a request may wait that begins to wait now.
func (f *Forwarder) waitLimit(fl *flight) clock.Millis {
	return f.now.Add(min(maxWait, fl.remaining(f.now)/waitDivisor))
}

// serverExpected reports whether a server for the request is loading weights, pauses or has a
// limit, and will be available soon.
func (f *Forwarder) serverExpected(fl *flight) bool {
	loading := f.loadingEngines()
	available := f.servers.Available(f.now, fl.service)
	if f.limitedInTime(fl, available) || f.roomExpected(fl, available) {
		return true
	}
	for _, server := range available {
		if (loading[server.ID] || f.returnsInTime(fl, server) || f.awaitsStart(fl, server)) && !server.Down() && !fl.triedServers[server.ID] && fl.mayRunAt(server) {
			return true
		}
	}
	return false
}

// dueFlights returns the flights whose check is due, the most urgent first.
func (f *Forwarder) dueFlights() []*flight {
	var due []*flight
	for _, fl := range f.flights {
		if f.now >= fl.checkAt {
			due = append(due, fl)
		}
	}
	slices.SortFunc(due, compareUrgency)
	return due
}

// checkFlights handles the flights whose check is due.
func (f *Forwarder) checkFlights() {
	for _, fl := range f.dueFlights() {
		if f.flights[fl.id()] != fl {
			continue
		}
		if f.now >= fl.deadline {
			f.cancelAttempts(fl)
			f.refuseExpired(fl)
			continue
		}
		if f.admitter.Waits(fl.id()) {
			f.refuseLate(fl)
			continue
		}
		if fl.crashCheck != "" {
			f.endCrashCheck(fl)
			continue
		}
		if fl.lookup != nil {
			f.askOriginKeepers(fl)
			continue
		}
		if fl.query != nil {
			f.chooseQueried(fl)
			continue
		}
		if fl.waiting {
			f.assignServer(fl)
			continue
		}
		if fl.moves() {
			f.abandonMove(fl)
			continue
		}
		if !f.tryAlternative(fl) {
			fl.checkAt = min(fl.deadline, f.now.Add(silenceCheckInterval))
		}
	}
}

const (
	// silenceCheckInterval is the time between two checks whether there is an alternative
	// to a silent attempt.
	silenceCheckInterval = 250 * clock.Millisecond
	// silenceLimitFactor is the silence limit of a stream that can be resumed elsewhere,
	// as a multiple of the target time between events.
	silenceLimitFactor = 2
	// minSilenceLimit is the shortest silence limit: engines pause streams for other
	// prompts.
	minSilenceLimit = clock.Second
)

// silenceLimit returns the time without an event after which an alternative is tried; 0 if
// there can be none.
func (f *Forwarder) silenceLimit(fl *flight) clock.Millis {
	if !f.canRetry(fl) {
		return 0
	}
	return max(minSilenceLimit, silenceLimitFactor*fl.route.EventGapTarget)
}

func (f *Forwarder) handleStreamSilent(event StreamSilent) {
	if fl, ok := f.currentAttempt(event.Request, event.Attempt); ok && fl.movable() {
		f.tryAlternative(fl)
	}
}

// scheduleCheck sets the time of the flight's next check: its deadline, or earlier the
// silence timeout of an attempt that can be retried.
func (f *Forwarder) scheduleCheck(fl *flight) {
	fl.checkAt = fl.deadline
	if !fl.attemptActive || fl.streamStarted || fl.callerDisconnected || !f.canRetry(fl) {
		return
	}
	timeout := max(minSilenceTimeout, fl.route.ResponseTarget*silenceFactor, clock.Millis(fl.expectedStartMs*silenceFactor))
	fl.checkAt = min(fl.deadline, f.now.Add(timeout))
}
