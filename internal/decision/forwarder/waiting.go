package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// serverPollInterval is the time between two looks for a server that is expected soon.
	serverPollInterval = 20 * clock.Millisecond
	// waitDivisor is the part of the time that a request has for which it waits, when it
	// is not known how soon a server will be there.
	waitDivisor = 4
	// maxWait is the longest such wait: some loads of weights.
	maxWait = clock.Second
)

// waitForServer lets a request wait for a server that will take requests again soon; where
// none will, it is refused at once.
func (f *Forwarder) waitForServer(fl *flight) {
	if fl.waitDeadline == 0 {
		fl.waitDeadline = f.now.Add(min(maxWait, fl.remaining(f.now)/waitDivisor))
	}
	if !f.serverExpected(fl) || f.now >= fl.waitDeadline {
		f.refuse(fl, ReasonNoServer, f.jitteredRetryAfter())
		return
	}
	fl.waiting = true
	fl.checkAt = f.now.Add(serverPollInterval)
}

// serverExpected reports whether a server that the request may go to loads weights and will
// be there soon.
func (f *Forwarder) serverExpected(fl *flight) bool {
	updating := f.loadingEngines()
	for _, server := range f.servers.Of(f.now, fl.service) {
		if updating[server.ID] && !server.Down() && !fl.triedServers[server.ID] {
			return true
		}
	}
	return false
}

func (f *Forwarder) checkFlights() {
	for _, id := range slices.Sorted(maps.Keys(f.flights)) {
		fl := f.flights[id]
		if f.now < fl.checkAt {
			continue
		}
		if f.now >= fl.deadline {
			f.cancelAttempt(fl)
			f.refuse(fl, ReasonTimeout, 0)
			continue
		}
		if fl.waiting {
			f.assignServer(fl)
			continue
		}
		f.abandonSilentAttempt(fl)
	}
}

// abandonSilentAttempt gives up an attempt that does not answer, where there is another server.
func (f *Forwarder) abandonSilentAttempt(fl *flight) {
	fl.checkAt = fl.deadline
	if len(f.candidates(fl)) == 0 || !f.retryBudget.Take(f.now, fl.service, f.instanceCount()) {
		return
	}
	f.log(journal.New(journal.AttemptFailed, fl.id()).With("server", fl.server).With("attempt", fl.attempt).With("failure", "silent"))
	f.servers.Result(f.now, fl.server, true)
	f.checkHealth(fl.server)
	f.cancelAttempt(fl)
	f.scheduler.End(fl.id())
	f.assignServer(fl)
}

const (
	// idleTimeoutFactor is how many times the target a pause in a stream may last, where the
	// stream can go on elsewhere.
	idleTimeoutFactor = 2
	// minIdleTimeout is the shortest such pause: engines pause for the prompts of others.
	minIdleTimeout = clock.Second
)

// idleTimeout returns the longest pause between two events of the next attempt.
func (f *Forwarder) idleTimeout(fl *flight) clock.Millis {
	if !f.canRetry(fl) {
		return 0
	}
	return max(minIdleTimeout, idleTimeoutFactor*fl.route.GapTarget)
}

// scheduleCheck sets when the flight must be looked at: at its end, or when an attempt
// that may be repeated has been silent for too long.
func (f *Forwarder) scheduleCheck(fl *flight) {
	fl.checkAt = fl.deadline
	if !fl.attemptActive || fl.streamStarted || fl.callerGone || !f.canRetry(fl) {
		return
	}
	silence := max(minSilenceTimeout, fl.route.Target*silenceFactor, clock.Millis(fl.expectedStartMs*silenceFactor))
	fl.checkAt = min(fl.deadline, f.now.Add(silence))
}
