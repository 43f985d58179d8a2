package placer

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// sources are the two servers that have the most of a prompt's beginning, and the
// store.
type sources struct {
	best, second, store source
	// storeBusy tells that this instance has had its part of what the store can send.
	storeBusy bool
}

// source is a server, or the store, with the tokens that can be fetched there, the part
// of them that it has by its own word, and whether they were used there lately.
type source struct {
	server string
	tokens int64
	sure   int64
	fresh  bool
}

// without returns the source with the most tokens but for the server; the store only
// where no server has as much, or as surely, or has used it lately.
func (s sources) without(server string) (string, int64) {
	chosen := s.best
	if chosen.server == server {
		chosen = s.second
	}
	steadier := s.store.sure > chosen.sure || (s.store.sure == chosen.sure && !chosen.fresh && !s.storeBusy)
	if s.store.tokens > chosen.tokens || (s.store.tokens == chosen.tokens && s.store.tokens > 0 && steadier) {
		chosen = s.store
	}
	return chosen.server, chosen.tokens
}

// sourcesOf returns where the prompt's beginning can be fetched.
func (p *Placer) sourcesOf(now clock.Millis, ask Ask, salt string) sources {
	var found sources
	for server := range p.kept {
		if p.barred[server] || server == StoreID {
			continue
		}
		next := p.sourceAt(now, ask, salt, server)
		switch {
		case next.before(found.best):
			found.best, found.second = next, found.best
		case next.before(found.second):
			found.second = next
		}
	}
	if !p.barred[StoreID] {
		found.store = p.sourceAt(now, ask, salt, StoreID)
		found.storeBusy = p.storeQueue(now) > storeBurst
	}
	return found
}

func (p *Placer) sourceAt(now clock.Millis, ask Ask, salt, server string) source {
	found := source{server: server, tokens: p.held(now, ask, salt, server, (*kept).readable)}
	if found.tokens > 0 {
		found.sure = p.held(now, ask, salt, server, (*kept).sure)
		found.fresh = p.held(now, ask, salt, server, (*kept).fresh) >= found.tokens
	}
	return found
}

// before reports whether the source goes before the other one: by tokens, by what is
// sure, then by name, so that equal states give equal choices.
func (s source) before(other source) bool {
	switch {
	case s.tokens != other.tokens:
		return s.tokens > other.tokens
	case s.sure != other.sure:
		return s.sure > other.sure
	default:
		return s.tokens > 0 && s.server < other.server
	}
}

// storeQueue returns the tokens that are on their way from the store by requests from
// here, if each of the instances that are heard has an equal part of what it can send.
func (p *Placer) storeQueue(now clock.Millis) float64 {
	instances := 1
	for _, peer := range p.peers {
		if now.Since(peer.at) < peerLoadAge {
			instances++
		}
	}
	return max(0, p.storeTokens-float64(now.Since(p.storeAt))*storeFetchRate/float64(instances))
}

// noteStore counts a fetch from the store.
func (p *Placer) noteStore(now clock.Millis, tokens int64) {
	p.storeTokens = p.storeQueue(now) + float64(tokens)
	p.storeAt = now
}

// worthSaving reports whether the server reads a shared part that the store of kept
// parts does not have.
func (p *Placer) worthSaving(now clock.Millis, ask Ask, candidate Candidate, held int64) bool {
	if p.storeMemory == 0 {
		return false
	}
	shared := ask.sharedTokens()
	if held >= shared {
		return false
	}
	return p.held(now, ask, candidate.Salt, StoreID, (*kept).has) < shared
}

// StoreID stands for the store of kept parts among the servers.
const StoreID = "store"

// SetStore sets the memory of the store of kept parts in tokens; 0 when there is none.
func (p *Placer) SetStore(memory int64) {
	if p.storeMemory = memory; memory > 0 {
		known := p.keptAt(StoreID)
		known.memory, known.full = memory, memory
	}
}

// Bar sets the servers from which nothing can be fetched: they are down or load
// weights.
func (p *Placer) Bar(servers map[string]bool) { p.barred = servers }
