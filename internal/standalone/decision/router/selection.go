package router

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// scope returns the scope within which the request can reuse the server's cached
// prompt chunks.
func (f *flight) scope(server tracker.Server) chunker.Scope {
	return chunker.Scope{Team: f.team.Name, Model: f.route.Model, Weights: server.Weights}
}

// chooseServer returns an untried server for the next attempt.
func (r *Router) chooseServer(f *flight) (tracker.Server, bool) {
	servers := r.candidates(f)
	candidates := make([]balancer.Candidate, len(servers))
	for i, server := range servers {
		candidates[i] = r.newCandidate(f, server)
	}
	r.choiceCount++
	choice, ok := balancer.Choose(r.settings.Policy, f.prefixHash(), r.choiceCount, candidates)
	if !ok {
		return tracker.Server{}, false
	}
	entry := eventlog.New(eventlog.RouteChosen, f.id()).With("server", choice.Chosen.Name).With("attempt", f.attempts+1)
	for _, scored := range choice.Ranked[:min(len(choice.Ranked), maxLoggedCandidates)] {
		entry = entry.With("candidate", scored)
	}
	r.log(entry)
	return r.view.Server(choice.Chosen.Name)
}

// maxLoggedCandidates is the limit of candidates in a log line.
const maxLoggedCandidates = 4

// candidates returns the servers to choose from: for a model, the untried servers of
// the prefix's cell that are not suspect; otherwise, or if there are none, the
// preferred ones of all untried servers.
func (r *Router) candidates(f *flight) []tracker.Server {
	if f.isModel() {
		cell := slices.DeleteFunc(r.view.Cell(f.route.Model, f.prefixHash()).Servers, func(s tracker.Server) bool {
			return f.tried[s.Name] || s.Suspect(r.now)
		})
		if len(cell) > 0 {
			return cell
		}
	}
	return r.view.Preferred(r.now, r.untriedServers(f))
}

// untriedServers returns the live servers that the flight has not tried.
func (r *Router) untriedServers(f *flight) []tracker.Server {
	servers := r.view.Services(f.route.Service)
	if f.isModel() {
		servers = r.view.Engines(f.route.Model)
	}
	return slices.DeleteFunc(servers, func(s tracker.Server) bool { return f.tried[s.Name] })
}

// prefixHash returns the hash of the first chunk of the prompt, by which a cell and
// its owner are selected.
func (f *flight) prefixHash() uint64 {
	scope := chunker.Scope{Team: f.team.Name, Model: f.route.Model}
	if len(f.request.Chain) == 0 {
		return scope.Salt()
	}
	return chunker.ScopeChain(scope, f.request.Chain[:1])[0]
}
