package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Times of the choice by a cell's home.
const (
	// homeTimeout is how long a home's choice is waited for.
	homeTimeout = 20 * clock.Millisecond
	// guestTimeout is when a home forgets a request of which it hears nothing.
	guestTimeout = clock.Minute
)

// askHome asks the home of the request's cell for a server. It reports false when
// this instance chooses: it is the home, or there is none.
func (r *Router) askHome(f *flight) bool {
	f.home = tracker.Peer{}
	if !f.isModel() || (r.settings.Policy != "" && r.settings.Policy != chooser.Predicted) {
		return false
	}
	home, elsewhere := r.cellHome(f)
	if !elsewhere {
		return false
	}
	f.stage = stageChoosing
	f.home = home
	ask := &peerv1.ChooseAsk{
		Request:      f.id(),
		Team:         f.team.Name,
		Model:        f.route.Model,
		Chain:        f.request.Chain,
		PromptTokens: f.request.PromptTokens,
		Tried:        slices.Sorted(maps.Keys(f.tried)),
		Attempt:      int32(f.attempts),
	}
	r.send(home, &peerv1.Message{Body: &peerv1.Message_ChooseAsk{ChooseAsk: ask}})
	r.after(homeTimeout, chooseDue{request: f.id(), attempts: f.attempts})
	return true
}

// cellHome returns the home of the request's cell: of the live instances of the
// cell's failure domains the one with the highest weight. It reports false when
// that is this instance.
func (r *Router) cellHome(f *flight) (tracker.Peer, bool) {
	cell := r.known.Cell(f.route.Model, f.prefix())
	key := chunker.Scope{Model: f.route.Model}.Salt() + cell.Number
	return r.homeAmong(key, func(peer tracker.Peer) bool {
		return peer.Domain == r.settings.Domain || cell.Spans
	})
}

// homeAmong returns the home of the key: of the live instances that are eligible,
// and this one, the one with the highest weight. It reports false when that is
// this instance.
func (r *Router) homeAmong(key uint64, eligible func(tracker.Peer) bool) (tracker.Peer, bool) {
	var home tracker.Peer
	best := chooser.Rendezvous(key, r.settings.Name)
	found := false
	for _, peer := range r.known.Peers() {
		if peer.Leaving || !peer.Alive(r.now) || !eligible(peer) {
			continue
		}
		if weight := chooser.Rendezvous(key, peer.Name); weight > best {
			home, best, found = peer, weight, true
		}
	}
	return home, found
}

// chooseAsked chooses a server for another instance's request, and counts its
// work as that instance's own.
func (r *Router) chooseAsked(from string, ask *peerv1.ChooseAsk) {
	peer, ok := r.known.Peer(from)
	if !ok || len(r.guests) >= maxGuests {
		return
	}
	r.endGuest(ask.GetRequest(), -1)
	guest := &flight{
		request:  event.RequestArrived{Request: ask.GetRequest(), Model: ask.GetModel(), Chain: ask.GetChain(), PromptTokens: ask.GetPromptTokens()},
		team:     config.Team{Name: ask.GetTeam()},
		route:    config.Route{Kind: config.KindModel, Model: ask.GetModel()},
		attempts: int(ask.GetAttempt()),
		tried:    map[string]bool{},
	}
	for _, name := range ask.GetTried() {
		guest.tried[name] = true
	}
	answer := &peerv1.ChooseAnswer{Request: ask.GetRequest(), Attempt: ask.GetAttempt()}
	if server, ok := r.choose(guest); ok {
		guest.server = server.Name
		r.expect(guest, server)
		r.known.Placed(server.Name)
		r.guests[guest.id()] = guest
		r.after(guestTimeout, guestDue{guest: guest})
		answer.Server = server.Name
	}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ChooseAnswer{ChooseAnswer: answer}})
}

// chooseAnswered begins the attempt that the home has chosen.
func (r *Router) chooseAnswered(from string, answer *peerv1.ChooseAnswer) {
	f, ok := r.flights[answer.GetRequest()]
	if !ok || f.stage != stageChoosing || f.home.Name != from || f.attempts != int(answer.GetAttempt()) {
		return
	}
	server, listed := r.known.Server(answer.GetServer())
	if !listed || f.tried[server.Name] || server.Suspect(r.now) {
		r.endWork(f, -1)
		r.dispatchByOwnChoice(f)
		return
	}
	r.log(journal.New(journal.RouteChosen, f.id()).With("server", server.Name).With("attempt", f.attempts+1).With("by", from))
	r.dispatchTo(f, server)
}

// chooseTimedOut chooses here when the home has not answered.
func (r *Router) chooseTimedOut(due chooseDue) {
	f, ok := r.flights[due.request]
	if !ok || f.stage != stageChoosing || f.attempts != due.attempts {
		return
	}
	r.endWork(f, -1)
	r.dispatchByOwnChoice(f)
}

// tellHome tells the home what became of the work that it has counted.
func (r *Router) tellHome(f *flight, end *peerv1.WorkEnd) {
	if f.home.Name != "" {
		r.send(f.home, &peerv1.Message{Body: &peerv1.Message_WorkEnd{WorkEnd: end}})
	}
}

// endWork tells the home that the attempt has ended.
func (r *Router) endWork(f *flight, cachedTokens int64) {
	r.tellHome(f, &peerv1.WorkEnd{Request: f.id(), Ended: true, CachedTokens: cachedTokens})
	f.home = tracker.Peer{}
}

// workEnded takes a gateway's word on a request that was chosen for here.
func (r *Router) workEnded(end *peerv1.WorkEnd) {
	if end.GetEnded() {
		r.endGuest(end.GetRequest(), end.GetCachedTokens())
		return
	}
	if guest, ok := r.guests[end.GetRequest()]; ok {
		r.settleWork(guest)
	}
}

func (r *Router) endGuest(request string, cachedTokens int64) {
	guest, ok := r.guests[request]
	if !ok {
		return
	}
	delete(r.guests, request)
	r.settleWork(guest)
	r.known.Left(guest.server)
	r.correctIndex(guest, event.AttemptAnswered{CachedTokens: cachedTokens})
}

func (r *Router) guestTimedOut(guest *flight) {
	if r.guests[guest.id()] == guest {
		r.endGuest(guest.id(), -1)
	}
}
