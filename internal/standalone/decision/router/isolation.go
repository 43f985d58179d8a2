package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/blamer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// isolationKey keeps the ranks for isolation apart from those for other roles.
	isolationKey uint64 = 0x69736f6c61746500
	// askAgain is the time from a suspect's wish to its repetition, in case that
	// the home of the isolation has changed.
	askAgain = clock.Second
	// collectFor is how long a new suspect waits for word of other crashes.
	collectFor = 30 * clock.Millisecond
	// deferFor is how long a domain leaves a suspect's lone run to another one.
	deferFor = 3 * clock.Second
)

// isolation is what a flight needs to run as a suspect.
type isolation struct {
	// crashed is the server that crashed under the flight; empty when the request
	// was a suspect before.
	crashed string
	since   clock.Millis
	// alone tells that the current attempt runs by a grant.
	alone bool
}

// crashed takes in that the flight's server crashed while it ran there.
func (r *Router) crashed(f *flight) {
	r.index.Forget(f.server)
	r.log(journal.New(journal.ServerCrashed, f.id()).With("server", f.server).With("alone", f.isolation.alone))
	if f.isolation.alone {
		r.endAlone(f, peerv1.Blame_CONVICTED)
		r.refuseConvict(f)
		return
	}
	f.isolation.crashed = f.server
	r.isolate(f)
}

// isolate asks the home of the isolation where the suspect may run.
func (r *Router) isolate(f *flight) {
	f.stage = stageIsolating
	f.isolation.since = r.now
	r.askIsolation(f)
}

func (r *Router) askIsolation(f *flight) {
	ask := &peerv1.IsolationAsk{Request: f.id(), Fingerprint: f.request.Fingerprint, Model: f.route.Model, Crashed: f.isolation.crashed}
	r.after(askAgain, isolationDue{request: f.id()})
	r.sendToHome(&peerv1.Message{Body: &peerv1.Message_IsolationAsk{IsolationAsk: ask}})
}

// sendToHome sends a message to the home of the isolation, which may be here.
func (r *Router) sendToHome(message *peerv1.Message) {
	home, elsewhere := r.homeAmong(isolationKey, func(peer tracker.Peer) bool { return peer.Domain == r.settings.Domain })
	if elsewhere {
		r.send(home, message)
		return
	}
	r.isolationMessage(r.settings.Name, message)
}

// isolationMessage takes a message about suspects, from a peer or from here.
func (r *Router) isolationMessage(from string, message *peerv1.Message) {
	switch body := message.GetBody().(type) {
	case *peerv1.Message_IsolationAsk:
		r.isolationAsked(from, body.IsolationAsk)
	case *peerv1.Message_IsolationGrant:
		r.isolationGranted(body.IsolationGrant)
	case *peerv1.Message_AloneEnd:
		r.aloneEnded(body.AloneEnd)
	case *peerv1.Message_Blame:
		r.blamed(body.Blame)
	}
}

func (r *Router) sendGrant(to string, grant *peerv1.IsolationGrant) {
	message := &peerv1.Message{Body: &peerv1.Message_IsolationGrant{IsolationGrant: grant}}
	if peer, ok := r.known.Peer(to); ok {
		r.send(peer, message)
		return
	}
	r.isolationMessage(r.settings.Name, message)
}

// isolationGranted lets a suspect run. One whose caller has gone gives the server
// back.
func (r *Router) isolationGranted(grant *peerv1.IsolationGrant) {
	f, ok := r.flights[grant.GetRequest()]
	if !ok || f.stage != stageIsolating {
		if grant.GetAlone() {
			r.sendAloneEnd(&peerv1.AloneEnd{Request: grant.GetRequest()})
		}
		return
	}
	switch server, listed := r.known.Server(grant.GetServer()); {
	case grant.GetConvicted():
		r.refuseConvict(f)
	case !grant.GetAlone():
		r.dispatch(f)
	case !listed:
		r.endAlone(f, peerv1.Blame_SUSPECT)
		r.giveUp(f, action.CodeNoServer, "the backend server for a lone run is gone")
	default:
		f.isolation.alone = true
		r.log(journal.New(journal.RunsAlone, f.id()).With("server", server.Name))
		r.dispatchTo(f, server)
	}
}

// endAlone tells the home how a lone run ended: cleared, still suspect, or
// convicted.
func (r *Router) endAlone(f *flight, state peerv1.Blame_State) {
	f.isolation.alone = false
	r.sendAloneEnd(&peerv1.AloneEnd{Request: f.id(), Fingerprint: f.request.Fingerprint, State: state})
}

func (r *Router) sendAloneEnd(end *peerv1.AloneEnd) {
	r.sendToHome(&peerv1.Message{Body: &peerv1.Message_AloneEnd{AloneEnd: end}})
}

func (r *Router) aloneEnded(end *peerv1.AloneEnd) {
	r.isolation.End(r.now, end.GetRequest())
	if end.GetFingerprint() != "" && end.GetState() != peerv1.Blame_SUSPECT {
		r.spreadBlame(&peerv1.Blame{Fingerprint: end.GetFingerprint(), State: end.GetState()})
	}
	r.grantIsolation()
}

// spreadBlame takes a word on a fingerprint and passes it to all peers.
func (r *Router) spreadBlame(blame *peerv1.Blame) {
	r.blamed(blame)
	for _, peer := range r.known.Peers() {
		r.send(peer, &peerv1.Message{Body: &peerv1.Message_Blame{Blame: blame}})
	}
}

func (r *Router) blamed(blame *peerv1.Blame) {
	fingerprint := blame.GetFingerprint()
	switch blame.GetState() {
	case peerv1.Blame_SUSPECT:
		r.suspect(blame)
	case peerv1.Blame_CONVICTED:
		if r.blame.Convict(r.now, fingerprint) {
			r.log(journal.New(journal.RequestConvicted, "").With("fingerprint", fingerprint))
		}
	default:
		r.blame.Acquit(fingerprint)
	}
	r.grantIsolation()
}

// suspect notes a crash during which a request ran. Attempts of the same request
// that run beside others are ended, and asked for anew as lone runs.
func (r *Router) suspect(blame *peerv1.Blame) {
	fingerprint := blame.GetFingerprint()
	server, _ := r.known.Server(blame.GetServer())
	crash := blamer.Crash{Server: blame.GetServer(), Domain: server.Domain, Reporter: blame.GetDomain()}
	if !r.blame.Suspect(r.now, fingerprint, crash) {
		return
	}
	if r.blame.State(r.now, fingerprint) == blamer.Convicted {
		r.log(journal.New(journal.RequestConvicted, "").With("fingerprint", fingerprint))
	}
	for _, id := range slices.Sorted(maps.Keys(r.flights)) {
		f := r.flights[id]
		if f.request.Fingerprint == fingerprint && f.stage == stageRunning && f.isModel() && !f.isolation.alone && !f.resumed {
			r.withdraw(f)
		}
	}
}

// withdraw ends the flight's attempt, and asks for a lone run.
func (r *Router) withdraw(f *flight) {
	r.emit(action.CancelAttempt{Request: f.id(), Attempt: f.attempt})
	r.endAttempt(f, true)
	r.endWork(f, -1)
	f.attempt = ""
	f.sent = true
	f.isolation.crashed = ""
	r.isolate(f)
}

// refuseConvict ends a request that crashes backend servers.
func (r *Router) refuseConvict(f *flight) {
	refusal := convicted()
	if f.sent {
		refusal = refusal.WithPossiblyRun()
	}
	r.refundAll(f)
	if f.passed {
		r.endStreamWith(f, refusal)
		return
	}
	r.refuse(f, refusal)
}

func convicted() action.Refusal {
	return action.Refused(action.StatusUnprocessable, action.CodeCrashesServers, "this request crashed the backend servers that ran it; it is not run again")
}

// isolationAgain repeats a wish, or gives up when nothing has come of it.
func (r *Router) isolationAgain(id string) {
	f, ok := r.flights[id]
	if !ok || f.stage != stageIsolating {
		return
	}
	if r.now.Since(f.isolation.since) < r.settings.AnswerTimeout {
		r.askIsolation(f)
		return
	}
	if f.passed {
		r.endStream(f)
		return
	}
	r.giveUp(f, action.CodeServerFailed, "no backend server was free for a lone run")
}
