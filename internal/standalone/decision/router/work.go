package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// farTokens is what the way to another failure domain counts for, in tokens.
const farTokens = 150

// work is what an attempt is expected to cost its engine until the first token.
type work struct {
	server string
	// missed are the prompt tokens that are not cached, cached the others.
	missed int64
	cached int64
	// queued tells that the work is still counted at the server.
	queued bool
}

// chainAt returns the whole chunks of the request's prompt as the server has them.
func (f *flight) chainAt(server tracker.Server) []uint64 {
	chain := f.request.Chain
	if len(chain) == 0 {
		return nil
	}
	return chunker.Scoped(f.scope(server), chain[:len(chain)-1])
}

// candidate returns the server as the chooser sees it.
func (r *Router) candidate(f *flight, server tracker.Server) chooser.Candidate {
	cached := r.index.Hit(server.Name, f.chainAt(server))
	candidate := chooser.Candidate{
		Name:     server.Name,
		InFlight: server.InFlight,
		Queued:   r.queued[server.Name],
		Missed:   max(0, f.request.PromptTokens-cached),
	}
	if r.known.Far(server) {
		candidate.Missed += farTokens
	}
	return candidate
}

// expect counts the work of an attempt at the server, and notes the prompt's
// chunks there.
func (r *Router) expect(f *flight, server tracker.Server) {
	r.settleWork(f)
	if !f.isModel() {
		return
	}
	chain := f.chainAt(server)
	cached := min(r.index.Hit(server.Name, chain), f.request.PromptTokens)
	f.work = work{server: server.Name, cached: cached, missed: f.request.PromptTokens - cached, queued: true}
	r.queued[server.Name] += f.work.missed
	r.index.Placed(server.Name, chain)
}

// settleWork ends the counting of the attempt's work: its first token has come,
// or the attempt has ended.
func (r *Router) settleWork(f *flight) {
	if !f.work.queued {
		return
	}
	f.work.queued = false
	r.queued[f.work.server] -= f.work.missed
	if r.queued[f.work.server] <= 0 {
		delete(r.queued, f.work.server)
	}
}

// correctIndex holds the estimate to what the engine says that it had.
func (r *Router) correctIndex(f *flight, answered event.AttemptAnswered) {
	if answered.CachedTokens >= 0 && f.work.server == f.server && !f.resumed {
		r.index.Corrected(f.server, f.work.cached, answered.CachedTokens)
	}
}
