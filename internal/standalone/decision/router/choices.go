package router

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// scope returns within what the request may use cached blocks of the server.
func (f *flight) scope(server tracker.Server) chunker.Scope {
	return chunker.Scope{Team: f.team.Name, Model: f.route.Model, Weights: server.Weights}
}

// choose returns the server for the next attempt, one that was not tried yet.
func (r *Router) choose(f *flight) (tracker.Server, bool) {
	servers := r.candidates(f)
	candidates := make([]chooser.Candidate, len(servers))
	for i, server := range servers {
		candidates[i] = r.candidate(f, server)
	}
	r.turns++
	choice, ok := chooser.Choose(r.settings.Policy, f.prefix(), r.turns, candidates)
	if !ok {
		return tracker.Server{}, false
	}
	entry := journal.New(journal.RouteChosen, f.id()).With("server", choice.Chosen.Name).With("attempt", f.attempts+1)
	for _, scored := range choice.Ranked[:min(len(choice.Ranked), maxLogged)] {
		entry = entry.With("candidate", scored)
	}
	r.log(entry)
	return r.known.Server(choice.Chosen.Name)
}

// maxLogged bounds the candidates in a log line.
const maxLogged = 4

// candidates returns the servers to choose from: of the prefix's cell those that
// were not tried and are not suspect, else of all servers the nearest ones.
func (r *Router) candidates(f *flight) []tracker.Server {
	if f.isModel() {
		cell := slices.DeleteFunc(r.known.Cell(f.route.Model, f.prefix()).Servers, func(s tracker.Server) bool {
			return f.tried[s.Name] || s.Suspect(r.now)
		})
		if len(cell) > 0 {
			return cell
		}
	}
	return r.known.Prefer(r.now, r.untried(f))
}

// untried returns the live servers that the flight has not tried.
func (r *Router) untried(f *flight) []tracker.Server {
	servers := r.known.Services(f.route.Service)
	if f.isModel() {
		servers = r.known.Engines(f.route.Model)
	}
	return slices.DeleteFunc(servers, func(s tracker.Server) bool { return f.tried[s.Name] })
}

// prefix returns the hash of the request's first level, for its choice.
func (f *flight) prefix() uint64 {
	scope := chunker.Scope{Team: f.team.Name, Model: f.route.Model}
	if len(f.request.Chain) == 0 {
		return scope.Salt()
	}
	return chunker.Scoped(scope, f.request.Chain[:1])[0]
}
