package placer

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// sources are the two servers that have the most of a prompt's beginning, and the
// store.
type sources struct {
	best, second, store source
}

// source is a server, or the store, with the tokens that can be fetched there, and the
// part of them that it has by its own word.
type source struct {
	server string
	tokens int64
	sure   int64
}

// without returns the source with the most tokens but for the server; the store only
// where no server has as much, or as surely.
func (s sources) without(server string) (string, int64) {
	chosen := s.best
	if chosen.server == server {
		chosen = s.second
	}
	if s.store.tokens > chosen.tokens || (s.store.tokens == chosen.tokens && s.store.sure > chosen.sure) {
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
	}
	return found
}

func (p *Placer) sourceAt(now clock.Millis, ask Ask, salt, server string) source {
	found := source{server: server, tokens: p.held(now, ask, salt, server, (*kept).readable)}
	if found.tokens > 0 {
		found.sure = p.held(now, ask, salt, server, (*kept).sure)
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
