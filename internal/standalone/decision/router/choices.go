package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Timeouts of the selection of servers by a cell's owner.
const (
	// choiceTimeout is the wait for the owner's choice.
	choiceTimeout = 20 * clock.Millisecond
	// delegatedRequestTimeout is the age at which the owner drops a request whose end
	// was not reported.
	delegatedRequestTimeout = clock.Minute
)

// requestChoice requests a server from the owner of the request's cell. It reports
// false if this instance selects the server itself: it is the owner, the request is
// for a service, or the policy is a baseline without owners.
func (r *Router) requestChoice(f *flight) bool {
	f.owner = tracker.Peer{}
	if !f.isModel() || (r.settings.Policy != "" && r.settings.Policy != balancer.Predicted) {
		return false
	}
	owner, elsewhere := r.cellOwner(f)
	if !elsewhere {
		return false
	}
	f.stage = stageAwaitingChoice
	f.owner = owner
	request := &peerv1.ChooseAsk{
		Request:      f.id(),
		Team:         f.team.Name,
		Model:        f.route.Model,
		Chain:        f.request.Chain,
		PromptTokens: f.request.PromptTokens,
		Tried:        slices.Sorted(maps.Keys(f.tried)),
		Attempt:      int32(f.attempts),
	}
	r.send(owner, &peerv1.Message{Body: &peerv1.Message_ChooseAsk{ChooseAsk: request}})
	r.scheduleAfter(choiceTimeout, choiceTimer{request: f.id(), attempts: f.attempts})
	return true
}

// cellOwner returns the owner of the request's cell, the group of engines among which
// its server is selected. The owner is the instance with the highest rendezvous
// weight among the live ones of the cell's failure domains. It reports false if that
// is this instance.
func (r *Router) cellOwner(f *flight) (tracker.Peer, bool) {
	cell := r.view.Cell(f.route.Model, f.prefixHash())
	key := chunker.Scope{Model: f.route.Model}.Salt() + cell.Index
	return r.ownerAmong(key, func(peer tracker.Peer) bool {
		return peer.Domain == r.settings.Domain || cell.SpansDomains
	})
}

// ownerAmong returns the owner of the key: the instance with the highest rendezvous
// weight among the eligible live instances and this one. It reports false if that is
// this instance. While it drains, this one is the owner only if there is no other.
func (r *Router) ownerAmong(key uint64, eligible func(tracker.Peer) bool) (tracker.Peer, bool) {
	var owner tracker.Peer
	bestWeight := balancer.Rendezvous(key, r.settings.Name)
	found := false
	for _, peer := range r.view.Peers() {
		if peer.Leaving || !peer.Alive(r.now) || !eligible(peer) {
			continue
		}
		if weight := balancer.Rendezvous(key, peer.Name); weight > bestWeight || (r.draining && !found) {
			owner, bestWeight, found = peer, weight, true
		}
	}
	return owner, found
}

// handleChoiceRequest selects a server for another instance's request and counts the
// attempt in the server's load, as for this instance's own requests.
func (r *Router) handleChoiceRequest(from string, request *peerv1.ChooseAsk) {
	peer, ok := r.view.Peer(from)
	if !ok || len(r.delegatedRequests) >= maxDelegatedRequests {
		return
	}
	r.endDelegatedRequest(request.GetRequest(), -1)
	delegated := &flight{
		request:  event.RequestArrived{Request: request.GetRequest(), Model: request.GetModel(), Chain: request.GetChain(), PromptTokens: request.GetPromptTokens()},
		team:     config.Team{Name: request.GetTeam()},
		route:    config.Route{Kind: config.KindModel, Model: request.GetModel()},
		attempts: int(request.GetAttempt()),
		tried:    map[string]bool{},
	}
	for _, name := range request.GetTried() {
		delegated.tried[name] = true
	}
	reply := &peerv1.ChooseAnswer{Request: request.GetRequest(), Attempt: request.GetAttempt()}
	if server, ok := r.chooseServer(delegated); ok {
		delegated.server = server.Name
		r.startPrefill(delegated, server)
		r.view.AttemptStarted(server.Name)
		r.delegatedRequests[delegated.id()] = delegated
		r.scheduleAfter(delegatedRequestTimeout, delegatedRequestTimer{delegated: delegated})
		reply.Server = server.Name
	}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ChooseAnswer{ChooseAnswer: reply}})
}

// handleChoiceReply starts an attempt at the server that the owner selected.
func (r *Router) handleChoiceReply(from string, reply *peerv1.ChooseAnswer) {
	f, ok := r.flights[reply.GetRequest()]
	if !ok || f.stage != stageAwaitingChoice || f.owner.Name != from || f.attempts != int(reply.GetAttempt()) {
		return
	}
	server, listed := r.view.Server(reply.GetServer())
	if !listed || f.tried[server.Name] || server.Suspect(r.now) {
		r.notifyAttemptEnded(f, -1)
		r.dispatchLocally(f)
		return
	}
	r.log(eventlog.New(eventlog.RouteChosen, f.id()).With("server", server.Name).With("attempt", f.attempts+1).With("by", from))
	r.dispatchTo(f, server)
}

// handleChoiceTimeout selects a server locally, since the owner has not replied.
func (r *Router) handleChoiceTimeout(timer choiceTimer) {
	f, ok := r.flights[timer.request]
	if !ok || f.stage != stageAwaitingChoice || f.attempts != timer.attempts {
		return
	}
	r.notifyAttemptEnded(f, -1)
	r.dispatchLocally(f)
}

// notifyOwner reports the progress of the attempt to the owner that selected its
// server.
func (r *Router) notifyOwner(f *flight, message *peerv1.WorkEnd) {
	if f.owner.Name != "" {
		r.send(f.owner, &peerv1.Message{Body: &peerv1.Message_WorkEnd{WorkEnd: message}})
	}
}

// notifyAttemptEnded notifies the owner that the attempt has ended.
func (r *Router) notifyAttemptEnded(f *flight, cachedTokens int64) {
	r.notifyOwner(f, &peerv1.WorkEnd{Request: f.id(), Ended: true, CachedTokens: cachedTokens})
	f.owner = tracker.Peer{}
}

// handleDelegatedProgress handles another instance's report that an attempt whose
// server was selected here has received its first token or has ended.
func (r *Router) handleDelegatedProgress(message *peerv1.WorkEnd) {
	if message.GetEnded() {
		r.endDelegatedRequest(message.GetRequest(), message.GetCachedTokens())
		return
	}
	if delegated, ok := r.delegatedRequests[message.GetRequest()]; ok {
		r.endPrefill(delegated)
	}
}

func (r *Router) endDelegatedRequest(request string, cachedTokens int64) {
	delegated, ok := r.delegatedRequests[request]
	if !ok {
		return
	}
	delete(r.delegatedRequests, request)
	r.endPrefill(delegated)
	r.view.DelegatedAttemptEnded(delegated.server)
	r.correctPrefixIndex(delegated, event.AttemptCompleted{CachedTokens: cachedTokens})
}

func (r *Router) expireDelegatedRequest(delegated *flight) {
	if r.delegatedRequests[delegated.id()] == delegated {
		r.endDelegatedRequest(delegated.id(), -1)
	}
}
