package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/quarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// The isolation owner is the instance of a failure domain that schedules the isolated
// runs of suspects: an engine runs at most one suspect at a time.
const (
	// isolationRankKey makes the choice of the isolation owner independent of the ranks
	// for other roles.
	isolationRankKey uint64 = 0x69736f6c61746500
	// isolationRetryInterval is the interval at which a suspect's request for an
	// isolated run is repeated, in case the isolation owner has changed.
	isolationRetryInterval = clock.Second
	// crashReportDelay is the wait of a new suspect for reports of other crashes.
	crashReportDelay = 30 * clock.Millisecond
	// domainDeferral is the time for which a domain leaves a suspect's isolated run
	// to a domain that precedes it in the configuration.
	domainDeferral = 3 * clock.Second
)

// isolation is the state of a flight whose request is suspected to crash servers.
type isolation struct {
	// crashedServer is the server that crashed while it ran the flight; empty if the
	// request was already a suspect.
	crashedServer string
	requestedAt   clock.Millis
	// isolated reports whether the current attempt is an isolated run.
	isolated bool
}

// handleCrash handles a crash of the flight's server during its attempt.
func (r *Router) handleCrash(f *flight) {
	r.prefixIndex.RemoveEngine(f.server)
	r.log(eventlog.New(eventlog.ServerCrashed, f.id()).With("server", f.server).With("alone", f.isolation.isolated))
	if f.isolation.isolated {
		r.endIsolatedRun(f, peerv1.Blame_CONVICTED)
		r.refuseBlocked(f)
		return
	}
	f.isolation.crashedServer = f.server
	r.isolate(f)
}

// isolate requests an isolated run of the suspect from the isolation owner.
func (r *Router) isolate(f *flight) {
	if r.mustNotWait(f) {
		r.refuseLate(f)
		return
	}
	f.stage = stageIsolating
	f.isolation.requestedAt = r.now
	r.requestIsolation(f)
}

func (r *Router) requestIsolation(f *flight) {
	request := &peerv1.IsolationAsk{Request: f.id(), Fingerprint: f.request.Fingerprint, Model: f.route.Model, Crashed: f.isolation.crashedServer}
	r.scheduleAfter(isolationRetryInterval, isolationTimer{request: f.id()})
	r.sendToIsolationOwner(&peerv1.Message{Body: &peerv1.Message_IsolationAsk{IsolationAsk: request}})
}

// sendToIsolationOwner sends a message to the isolation owner, which may be this
// instance.
func (r *Router) sendToIsolationOwner(message *peerv1.Message) {
	owner, elsewhere := r.ownerAmong(isolationRankKey, func(peer tracker.Peer) bool { return peer.Domain == r.settings.Domain })
	if elsewhere {
		r.send(owner, message)
		return
	}
	r.handleIsolationMessage(r.settings.Name, message)
}

// handleIsolationMessage handles a message about suspects from a peer or from this
// instance.
func (r *Router) handleIsolationMessage(from string, message *peerv1.Message) {
	switch body := message.GetBody().(type) {
	case *peerv1.Message_IsolationAsk:
		r.handleIsolationRequest(from, body.IsolationAsk)
	case *peerv1.Message_IsolationGrant:
		r.handleIsolationGrant(body.IsolationGrant)
	case *peerv1.Message_AloneEnd:
		r.handleIsolatedRunEnd(body.AloneEnd)
	case *peerv1.Message_Blame:
		r.applyQuarantineState(body.Blame)
	}
}

func (r *Router) sendIsolationGrant(to string, grant *peerv1.IsolationGrant) {
	message := &peerv1.Message{Body: &peerv1.Message_IsolationGrant{IsolationGrant: grant}}
	if peer, ok := r.view.Peer(to); ok {
		r.send(peer, message)
		return
	}
	r.handleIsolationMessage(r.settings.Name, message)
}

// handleIsolationGrant starts the isolated run of a suspect. If its flight is no
// longer waiting, it releases the server.
func (r *Router) handleIsolationGrant(grant *peerv1.IsolationGrant) {
	f, ok := r.flights[grant.GetRequest()]
	if !ok || f.stage != stageIsolating {
		if grant.GetAlone() {
			r.sendIsolatedRunEnd(&peerv1.AloneEnd{Request: grant.GetRequest()})
		}
		return
	}
	switch server, listed := r.view.Server(grant.GetServer()); {
	case grant.GetConvicted():
		r.refuseBlocked(f)
	case !grant.GetAlone():
		r.dispatch(f)
	case !listed:
		r.endIsolatedRun(f, peerv1.Blame_SUSPECT)
		r.refuseFailed(f, action.CodeNoServer, "the backend server for a lone run is gone")
	default:
		f.isolation.isolated = true
		r.log(eventlog.New(eventlog.RunsAlone, f.id()).With("server", server.Name))
		r.dispatchTo(f, server)
	}
}

// endIsolatedRun reports the outcome of an isolated run to the isolation owner: cleared,
// still suspect, or blocked.
func (r *Router) endIsolatedRun(f *flight, state peerv1.Blame_State) {
	f.isolation.isolated = false
	r.sendIsolatedRunEnd(&peerv1.AloneEnd{Request: f.id(), Fingerprint: f.request.Fingerprint, State: state})
}

func (r *Router) sendIsolatedRunEnd(message *peerv1.AloneEnd) {
	r.sendToIsolationOwner(&peerv1.Message{Body: &peerv1.Message_AloneEnd{AloneEnd: message}})
}

func (r *Router) handleIsolatedRunEnd(message *peerv1.AloneEnd) {
	r.isolator.EndRun(r.now, message.GetRequest())
	if message.GetFingerprint() != "" && message.GetState() != peerv1.Blame_SUSPECT {
		r.broadcastQuarantineState(&peerv1.Blame{Fingerprint: message.GetFingerprint(), State: message.GetState()})
	}
	r.grantIsolatedRuns()
}

// broadcastQuarantineState applies the new state of a fingerprint and sends it to all
// peers.
func (r *Router) broadcastQuarantineState(message *peerv1.Blame) {
	r.applyQuarantineState(message)
	for _, peer := range r.view.Peers() {
		r.send(peer, &peerv1.Message{Body: &peerv1.Message_Blame{Blame: message}})
	}
}

// applyQuarantineState applies the new state of a fingerprint: suspect, blocked or clear.
func (r *Router) applyQuarantineState(message *peerv1.Blame) {
	fingerprint := message.GetFingerprint()
	switch message.GetState() {
	case peerv1.Blame_SUSPECT:
		r.recordCrash(message)
	case peerv1.Blame_CONVICTED:
		if r.quarantine.Block(r.now, fingerprint) {
			r.log(eventlog.New(eventlog.RequestConvicted, "").With("fingerprint", fingerprint))
		}
	default:
		r.quarantine.ClearSuspect(fingerprint)
	}
	r.grantIsolatedRuns()
}

// recordCrash records a crash of a server that was running the request. Attempts of
// the same request that are not isolated are cancelled and run again in isolation.
func (r *Router) recordCrash(message *peerv1.Blame) {
	fingerprint := message.GetFingerprint()
	server, _ := r.view.Server(message.GetServer())
	crash := quarantine.Crash{Server: message.GetServer(), Domain: server.Domain, ReporterDomain: message.GetDomain()}
	if !r.quarantine.RecordCrash(r.now, fingerprint, crash) {
		return
	}
	if r.quarantine.State(r.now, fingerprint) == quarantine.Blocked {
		r.log(eventlog.New(eventlog.RequestConvicted, "").With("fingerprint", fingerprint))
	}
	for _, id := range slices.Sorted(maps.Keys(r.flights)) {
		f := r.flights[id]
		if f.request.Fingerprint == fingerprint && f.stage == stageRunning && f.isModel() && !f.isolation.isolated && !f.resumed {
			r.cancelAndIsolate(f)
		}
	}
}

// cancelAndIsolate cancels the flight's attempt and requests an isolated run.
func (r *Router) cancelAndIsolate(f *flight) {
	r.emit(action.CancelAttempt{Request: f.id(), Attempt: f.attemptID})
	r.endAttempt(f, true)
	r.notifyAttemptEnded(f, -1)
	f.attemptID = ""
	f.possiblySent = true
	f.isolation.crashedServer = ""
	r.isolate(f)
}

// refuseBlocked refuses a request that is blocked because it crashes backend servers.
func (r *Router) refuseBlocked(f *flight) {
	refusal := blockedRefusal()
	if f.possiblySent {
		refusal = refusal.WithMayHaveRun()
	}
	r.refundAll(f)
	if f.partiallyDelivered {
		r.endStreamWith(f, refusal)
		return
	}
	r.refuse(f, refusal)
}

func blockedRefusal() action.Refusal {
	return action.NewRefusal(action.StatusUnprocessable, action.CodeCrashesServers, "this request crashed the backend servers that ran it; it is not run again")
}

// retryIsolation repeats the request for an isolated run, or refuses the flight
// after ResponseTimeout.
func (r *Router) retryIsolation(id string) {
	f, ok := r.flights[id]
	if !ok || f.stage != stageIsolating {
		return
	}
	if r.now.Since(f.isolation.requestedAt) < r.settings.ResponseTimeout {
		r.requestIsolation(f)
		return
	}
	if f.partiallyDelivered {
		r.endStream(f)
		return
	}
	r.refuseFailed(f, action.CodeServerFailed, "no backend server was free for a lone run")
}
