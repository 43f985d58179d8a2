package placer

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// sources are the two servers that have the most of a prompt's beginning, and the
// store.
type sources struct {
	best, second, store source
}

// source is a server, or the store, with the tokens that can be fetched there.
type source struct {
	server string
	tokens int64
}

// without returns the source with the most tokens but for the server; the store only
// where no server has as much.
func (s sources) without(server string) (string, int64) {
	chosen := s.best
	if chosen.server == server {
		chosen = s.second
	}
	if s.store.tokens > chosen.tokens {
		chosen = s.store
	}
	return chosen.server, chosen.tokens
}

// sourcesOf returns where the prompt's beginning can be fetched.
func (p *Placer) sourcesOf(now clock.Millis, ask Ask, salt string) sources {
	readable := func(k *kept, key uint64) bool { return k.readable(now, key) }
	var found sources
	for server := range p.kept {
		if p.barred[server] || server == StoreID {
			continue
		}
		next := source{server: server, tokens: p.held(ask, salt, server, readable)}
		switch {
		case next.before(found.best):
			found.best, found.second = next, found.best
		case next.before(found.second):
			found.second = next
		}
	}
	if tokens := p.held(ask, salt, StoreID, readable); tokens > 0 && !p.barred[StoreID] {
		found.store = source{server: StoreID, tokens: tokens}
	}
	return found
}

// before reports whether the source goes before the other one: by tokens, then by
// name, so that equal states give equal choices.
func (s source) before(other source) bool {
	if s.tokens == 0 || s.tokens < other.tokens {
		return false
	}
	return s.tokens > other.tokens || s.server < other.server
}

// worthSaving reports whether the server reads a shared part that the store of kept
// parts does not have.
func (p *Placer) worthSaving(ask Ask, candidate Candidate, held int64) bool {
	if p.storeMemory == 0 {
		return false
	}
	shared := ask.sharedTokens()
	if held >= shared {
		return false
	}
	return p.held(ask, candidate.Salt, StoreID, func(k *kept, key uint64) bool { return k.has(key) }) < shared
}

// StoreID stands for the store of kept parts among the servers.
const StoreID = "store"

// SetStore sets the memory of the store of kept parts in tokens; 0 when there is none.
func (p *Placer) SetStore(memory int64) {
	if p.storeMemory = memory; memory > 0 {
		p.keptAt(StoreID).memory = memory
	}
}

// Bar sets the servers from which nothing can be fetched: they are down or load
// weights.
func (p *Placer) Bar(servers map[string]bool) { p.barred = servers }
