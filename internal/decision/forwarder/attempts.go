package forwarder

import (
	"fmt"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// maxAttempts limits the attempts of one request, including those in which it did
	// not run.
	maxAttempts = 4
	// minRemaining is the least remaining time worth another attempt: a round trip to a
	// server in another domain and the shortest request.
	minRemaining = 30 * clock.Millisecond
	// silenceFactor is the time that a retryable attempt may take to start its response,
	// as a multiple of the response target and of the expected time; the longer applies.
	silenceFactor = 2
	// minSilenceTimeout is the shortest time after which a silent attempt is abandoned:
	// a server that is busy for a moment must not lose its requests.
	minSilenceTimeout = 400 * clock.Millisecond
	// defaultOutputTokens is assumed for prompts that state no output limit.
	defaultOutputTokens = 16
)

// assignServer selects a server and sends the request there, makes it wait, or refuses
// it. In a large cluster it asks the keepers of some engines first.
func (f *Forwarder) assignServer(fl *flight) {
	f.assignVersion(fl)
	if f.needsAdmission(fl) && f.admitter.MustQueue(f.admissionRequest(fl)) {
		f.awaitCapacity(fl)
		return
	}
	request, candidates := f.schedulerRequest(fl), f.candidatesOrLeaving(fl)
	f.scheduler.ExcludeSources(f.excludedSources())
	if !f.queryKeepers(fl, request, candidates) {
		f.endQuery(fl)
		f.chooseServer(fl, request, candidates)
	}
}

// schedulerRequest returns the request as the scheduler needs it.
func (f *Forwarder) schedulerRequest(fl *flight) scheduler.Request {
	request := scheduler.Request{Parts: fl.request.PromptParts, PromptTokens: fl.request.PromptTokens, OutputTokens: max(fl.request.OutputTokens, defaultOutputTokens)}
	if fl.hasPrompt() {
		usual, _ := f.streamTimes(fl)
		request.RunMs = float64(usual)
	}
	return request
}

// chooseServer selects one of the candidates and sends the request there, makes it wait,
// or refuses it.
func (f *Forwarder) chooseServer(fl *flight, request scheduler.Request, candidates []scheduler.Candidate) {
	if reason := f.keyRefusal(fl); reason != "" {
		f.refuse(fl, reason, f.jitteredRetryAfter())
		return
	}
	f.scheduler.ExcludeSources(f.excludedSources())
	choice, ok, full := f.chooseAdmitted(fl, request, candidates, false)
	if full {
		f.awaitCapacity(fl)
		return
	}
	if !ok {
		f.waitForServer(fl)
		return
	}
	f.dispatchInTime(fl, choice)
}

// dispatchInTime sends the request to the selected server, unless it would wait there until its
// deadline, or this instance may stop before the end of the response. To refuse a stream that has begun
// would cut it, so that it is sent whatever is estimated.
func (f *Forwarder) dispatchInTime(fl *flight, choice scheduler.Choice) {
	if !fl.partDelivered && fl.queueTooLong(choice, f.now) {
		f.refuse(fl, ReasonDeadlineTooClose, clock.Millis(choice.QueueMs)/2+f.jitteredRetryAfter())
		return
	}
	if !f.fitsBeforeStop(fl, choice) {
		f.refuse(fl, ReasonStopping, f.stoppingRetryAfter())
		return
	}
	f.dispatch(fl, choice)
}

// queueTooLong reports whether the request would wait at the server until its deadline.
func (fl *flight) queueTooLong(choice scheduler.Choice, now clock.Millis) bool {
	return fl.hasPrompt() && clock.Millis(choice.QueueMs) > fl.remaining(now)
}

// jitteredRetryAfter returns a random retry delay, so that callers do not retry all at
// once.
func (f *Forwarder) jitteredRetryAfter() clock.Millis {
	return defaultRetryAfter/2 + clock.Millis(f.jitter(int64(defaultRetryAfter)))
}

// dispatch starts the next attempt at the selected server.
func (f *Forwarder) dispatch(fl *flight, choice scheduler.Choice) {
	fl.waiting, fl.waitDeadline = false, 0
	attempt, plan := f.startAttempt(fl, choice, currentAttempt)
	fl.attempt, fl.weights = attempt, plan.weights
	fl.server = choice.Server
	fl.attemptOrigin = f.originOf(choice.Server)
	fl.attemptActive = true
	fl.streamStarted = false
	fl.expectedStartMs = choice.CostMs
	f.scheduleCheck(fl)
}

// startAttempt sends the request to the selected server. It returns the attempt's number and its plan.
func (f *Forwarder) startAttempt(fl *flight, choice scheduler.Choice, role attemptRole) (int, attemptPlan) {
	server, _ := f.servers.Server(choice.Server)
	fl.attempts++
	fl.triedServers[choice.Server] = true
	fl.possibleRuns++
	hop := f.wayTo(choice.Server)
	fl.ways[fl.attempts] = way{hop: hop, beganAt: f.now, startedAt: server.StartedAt}
	fl.partGenerations = f.parts.Generations(fl.partKeys)
	f.scheduler.Begin(f.now, fl.attemptKey(fl.attempts), choice)
	f.beginExposed(fl, server, fl.attempts)
	f.takeLimit(server)
	f.recordSent(fl, choice.Server)
	f.reportAdded(choice, f.schedulerRequest(fl))
	f.expediteBroadcast(choice.UncachedTokens)
	entry := eventlog.New(eventlog.RouteChosen, fl.id()).With("route", fl.route.Name).With("team", fl.team).With("server", choice.Server)
	if !hop.Direct() {
		entry = entry.With("via", hop.Instance)
	}
	entry = entry.With("attempt", fl.attempts).With("alternative", role != currentAttempt).With("cost", fmt.Sprintf("%.0fms", choice.CostMs)).With("missed", choice.UncachedTokens).With("source", choice.FetchSource)
	entry = entry.With("load", fmt.Sprintf("%d/%d/%d", choice.Load.Requests, choice.Load.PrefillTokens, choice.Load.MemoryTokens))
	plan := f.planAttempt(fl, choice)
	f.scheduleWithdrawal(plan.weights)
	_, version, _ := plan.weights.sole()
	entry = f.withWeights(entry, plan.weights).With("startsIn", fmt.Sprintf("%.0fms", choice.StartMs())).With("left", fl.remaining(f.now))
	f.log(entry.With("stateVersion", f.desired.Version).With("stateAge", f.now.Since(f.desiredConfirmedAt)))
	saveAddress := ""
	if choice.SaveToStore {
		saveAddress = f.cacheStore().CacheStoreAddress
	}
	f.emit(Dispatch{
		Request: fl.id(), Attempt: fl.attempts,
		Server: choice.Server, Address: server.Address, Via: hop, StartedAt: server.StartedAt, Limited: f.limits.Limited(startOf(server)), Brittle: f.isBrittle(server),
		Team: fl.team, HasPrompt: fl.hasPrompt(), CacheSalt: choice.Salt, WeightsVersion: version,
		FetchAddress: f.addressOf(choice.FetchSource), SaveAddress: saveAddress,
		Priority: fl.priority, Timeout: fl.remaining(f.now), ServerTimeout: plan.serverTimeout, SendBefore: plan.sendBefore, LastEventID: fl.lastEventID,
		Stream: fl.route.Kind == desired.Stream, Resumable: fl.route.Resumable, SilenceLimit: f.silenceLimit(fl), Alternative: role != currentAttempt, HoldsEvents: role == besideMoving, PartDelivered: fl.partDelivered,
	})
	return fl.attempts, plan
}

// canRetry reports whether a request that may have run may be sent again.
func (f *Forwarder) canRetry(fl *flight) bool {
	return !fl.unplaced && fl.route.Repeatable() && fl.possibleRuns-fl.supersededRuns < max(1, fl.route.MaxAttempts) && !fl.attemptsUsedUp()
}

// attemptsUsedUp reports whether the request must not be sent again. Attempts of which nothing was
// sent have a limit of their own.
func (fl *flight) attemptsUsedUp() bool {
	return fl.attempts-fl.unsent >= maxAttempts || fl.unsent >= maxUnsent
}

// currentAttempt returns the flight if the given attempt is its active one.
func (f *Forwarder) currentAttempt(id string, attempt int) (*flight, bool) {
	fl, ok := f.flights[id]
	if !ok || !fl.attemptActive || fl.attempt != attempt {
		return nil, false
	}
	return fl, true
}

// retry sends the request to another server if time, a server and retry budget are
// left. Otherwise it returns the reason; it is empty after a retry.
func (f *Forwarder) retry(fl *flight) Reason {
	if fl.confirms || f.mayCrashServers(fl) {
		return ReasonCrashesServers
	}
	if reason := f.keyRefusal(fl); reason != "" {
		return reason
	}
	if fl.remaining(f.now) < minRemaining {
		return ReasonDeadlineTooClose
	}
	if len(f.candidatesOrLeaving(fl)) == 0 && !f.serverExpected(fl) {
		fl.returnToLeftServers()
	}
	if fl.attemptsUsedUp() || (len(f.candidatesOrLeaving(fl)) == 0 && !f.serverExpected(fl)) {
		return ReasonNoServer
	}
	// The first request that reaches a server is no retry.
	if fl.attempts > fl.unsent && !f.retryBudget.AcquireRetry(f.now, fl.service, f.instanceCount()) {
		return ReasonNoRetryBudget
	}
	f.assignServer(fl)
	return ""
}

// retryOrRefuse retries the request, or refuses it if that is not possible.
func (f *Forwarder) retryOrRefuse(fl *flight) {
	if reason := f.retry(fl); reason != "" {
		f.refuse(fl, reason, f.retryAfter(fl))
	}
}
