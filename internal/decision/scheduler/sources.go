package scheduler

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// sources are the two servers with the longest cached prefix of a prompt, and the cache
// store.
type sources struct {
	best, second, store source
	// storeSaturated is set if this instance has used up its share of the store's link.
	storeSaturated bool
}

// source is a server, or the cache store, from which a prefix can be fetched.
type source struct {
	server string
	tokens int64 // tokens is the length of the prefix.
	// confirmed is the length of the prefix that the server has reported.
	confirmed int64
	// recentlyUsed is set if the whole prefix was used within recentUseWindow.
	recentlyUsed bool
}

// bestExcept returns the source with the longest prefix, the given server excluded, and
// the length of that prefix. The store is chosen over the best other source if its prefix
// is longer. At equal length it is chosen if more of its prefix is confirmed; or, at equal
// confirmed length, if the other source has not used its prefix recently and the store is
// not saturated.
func (s sources) bestExcept(server string) (string, int64) {
	chosen := s.best
	if chosen.server == server {
		chosen = s.second
	}
	preferStore := s.store.confirmed > chosen.confirmed || (s.store.confirmed == chosen.confirmed && !chosen.recentlyUsed && !s.storeSaturated)
	if s.store.tokens > chosen.tokens || (s.store.tokens == chosen.tokens && s.store.tokens > 0 && preferStore) {
		chosen = s.store
	}
	return chosen.server, chosen.tokens
}

// findSources returns the sources of the prompt's prefix.
func (s *Scheduler) findSources(now clock.Millis, request Request, salt string) sources {
	var found sources
	for server := range s.caches {
		if s.excludedSources[server] || server == StoreID {
			continue
		}
		next := s.sourceAt(now, request, salt, server)
		switch {
		case next.ranksAbove(found.best):
			found.best, found.second = next, found.best
		case next.ranksAbove(found.second):
			found.second = next
		}
	}
	if !s.excludedSources[StoreID] {
		found.store = s.sourceAt(now, request, salt, StoreID)
		found.storeSaturated = s.currentStoreBacklog(now) > maxStoreBacklog
	}
	return found
}

// withKnown returns the sources with those candidates of which the keepers know that they
// have a longer prefix.
func (s sources) withKnown(candidates []Candidate, salt string) sources {
	for _, candidate := range candidates {
		if candidate.Known == nil || candidate.Salt != salt || candidate.Known.CachedTokens == 0 {
			continue
		}
		next := source{server: candidate.Server, tokens: candidate.Known.CachedTokens, confirmed: candidate.Known.CachedTokens, recentlyUsed: true}
		switch {
		case next.server == s.best.server:
			if next.ranksAbove(s.best) {
				s.best = next
			}
		case next.ranksAbove(s.best):
			s.best, s.second = next, s.best
		case next.ranksAbove(s.second):
			s.second = next
		}
	}
	return s
}

func (s *Scheduler) sourceAt(now clock.Millis, request Request, salt, server string) source {
	found := source{server: server, tokens: s.cachedPrefix(now, request, salt, server, (*serverCache).fetchableTokens)}
	if found.tokens > 0 {
		found.confirmed = s.cachedPrefix(now, request, salt, server, (*serverCache).confirmedTokens)
		found.recentlyUsed = s.cachedPrefix(now, request, salt, server, (*serverCache).recentlyUsedTokens) >= found.tokens
	}
	return found
}

// ranksAbove orders sources by tokens, by confirmed tokens, then by name, so that equal
// states give equal choices.
func (s source) ranksAbove(other source) bool {
	switch {
	case s.tokens != other.tokens:
		return s.tokens > other.tokens
	case s.confirmed != other.confirmed:
		return s.confirmed > other.confirmed
	default:
		return s.tokens > 0 && s.server < other.server
	}
}

// currentStoreBacklog returns the number of tokens in transfer from the cache store for
// this instance's requests, assuming that all reachable instances have equal shares of
// its link.
func (s *Scheduler) currentStoreBacklog(now clock.Millis) float64 {
	return max(0, s.storeBacklog-float64(now.Since(s.storeBacklogAt))*storeFetchRate/float64(max(1, s.instances)))
}

// SetInstances sets the number of reachable instances.
func (s *Scheduler) SetInstances(count int) { s.instances = count }

// addStoreFetch adds a fetch from the cache store to the backlog.
func (s *Scheduler) addStoreFetch(now clock.Millis, tokens int64) {
	s.storeBacklog = s.currentStoreBacklog(now) + float64(tokens)
	s.storeBacklogAt = now
}

// shouldSave reports whether the server prefills a shared part that the cache store
// does not have. Cached is the length of the prefix that the server has or fetches.
func (s *Scheduler) shouldSave(now clock.Millis, request Request, candidate Candidate, cached int64) bool {
	if s.storeCapacity == 0 {
		return false
	}
	shared := request.sharedTokens()
	if cached >= shared {
		return false
	}
	return s.cachedPrefix(now, request, candidate.Salt, StoreID, (*serverCache).cachedTokens) < shared
}

// StoreID identifies the cache store among the servers.
const StoreID = "store"

// SetStoreCapacity sets the memory of the cache store in tokens; 0 without a store.
func (s *Scheduler) SetStoreCapacity(tokens int64) {
	if s.storeCapacity = tokens; tokens > 0 {
		cache := s.cacheOf(StoreID)
		cache.capacity, cache.totalMemory = tokens, tokens
	}
}

// ExcludeSources sets the servers from which nothing can be fetched, such as those that
// are down or loading weights.
func (s *Scheduler) ExcludeSources(servers map[string]bool) { s.excludedSources = servers }
