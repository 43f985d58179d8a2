package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// crossDomainTokens is the cost of sending a request to another failure domain, in
// tokens.
const crossDomainTokens = 150

// prefill is the expected cost of an attempt for its engine until the first token.
type prefill struct {
	server string
	// uncached and cached are the prompt tokens by their estimated presence in the
	// engine's cache.
	uncached int64
	cached   int64
	// counted reports whether the tokens are still part of the server's queued tokens.
	counted bool
}

// scopedChain returns the hashes of the complete chunks of the request's prompt in
// the server's scope.
func (f *flight) scopedChain(server tracker.Server) []uint64 {
	chain := f.request.Chain
	if len(chain) == 0 {
		return nil
	}
	return chunker.ScopeChain(f.scope(server), chain[:len(chain)-1])
}

// newCandidate returns the server's load and cache state for the balancer.
func (r *Router) newCandidate(f *flight, server tracker.Server) balancer.Candidate {
	cached := r.prefixIndex.CachedTokens(server.Name, f.scopedChain(server))
	candidate := balancer.Candidate{
		Name:           server.Name,
		InFlight:       server.InFlight,
		QueuedTokens:   r.queuedTokens[server.Name],
		UncachedTokens: max(0, f.request.PromptTokens-cached),
	}
	if r.view.InOtherDomain(server) {
		candidate.UncachedTokens += crossDomainTokens
	}
	return candidate
}

// startPrefill adds the prefill of an attempt to the server's queued tokens and adds
// the prompt's chunks to the server's prefix index.
func (r *Router) startPrefill(f *flight, server tracker.Server) {
	r.endPrefill(f)
	if !f.isModel() {
		return
	}
	chain := f.scopedChain(server)
	cached := min(r.prefixIndex.CachedTokens(server.Name, chain), f.request.PromptTokens)
	f.prefill = prefill{server: server.Name, cached: cached, uncached: f.request.PromptTokens - cached, counted: true}
	r.queuedTokens[server.Name] += f.prefill.uncached
	r.prefixIndex.RecordPrompt(server.Name, chain)
}

// endPrefill removes the attempt's prefill from the server's queued tokens: its
// first token has arrived, or the attempt has ended.
func (r *Router) endPrefill(f *flight) {
	if !f.prefill.counted {
		return
	}
	f.prefill.counted = false
	r.queuedTokens[f.prefill.server] -= f.prefill.uncached
	if r.queuedTokens[f.prefill.server] <= 0 {
		delete(r.queuedTokens, f.prefill.server)
	}
}

// correctPrefixIndex corrects the estimate by the number of cached tokens that the
// engine reported.
func (r *Router) correctPrefixIndex(f *flight, ev event.AttemptCompleted) {
	if ev.CachedTokens >= 0 && f.prefill.server == f.server && !f.resumed {
		r.prefixIndex.Correct(f.server, f.prefill.cached, ev.CachedTokens)
	}
}
