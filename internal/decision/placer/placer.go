// Package placer chooses the server of a request by the time until its answer
// begins: the prompts queued before it, the parts of its prompt that the server
// does not have, and the memory that it needs.
//
// Load pattern: a few hundred prompts share long parts, more of them than one
// engine can keep; some are asked for far more often than others, and the engines
// that have them must not saturate while others idle.
//
// Prompts that share a part meet at that part's home, the server with the highest
// rendezvous hash, which all instances compute alike. A request leaves its home
// when another server would begin sooner although it fetches the shared parts from a
// server that has them, or reads them again. What the other instances have placed is
// heard from them, some hundred milliseconds old.
//
// # Usage
//
//	places := placer.New()
//	choice, ok := places.Choose(now, ask, candidates)
//	places.Begin(now, request, choice)
//	places.Answering(now, request)
//	places.End(request)
package placer

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Costs in milliseconds, and rates.
const (
	// prefillRate is the prompt tokens that an engine is taken to read in a
	// millisecond until its pace is known: about that of the users' engines.
	prefillRate = 40.0
	// requestCost is what each running request slows a new one down.
	requestCost = 1.0
	// plainCost is what each running request of a plain service counts for: the
	// usual work there lies between 15 and 60 ms, shared by a few slots.
	plainCost = 10.0
	// farCost is the way to another failure domain and back.
	farCost = 3.0
	// overCost is what waiting for memory counts for: about the life of a request.
	overCost = 300.0
	// awayCost is what a server counts for that is not the home and does not have the
	// shared parts: it keeps parts at few servers, as their memory is short.
	awayCost = 20.0
	// fetchCost is the fetching of parts from another server: a gigabyte over its link.
	fetchCost = 8.0
	// storeFetchRate is the tokens that come from a store of kept parts in a
	// millisecond, of what its link carries: it is shared by all engines.
	storeFetchRate = 100.0
	// storeBurst is the tokens that may be on their way from the store, by what the
	// instance's part of it can send, while an engine could be asked instead: a long
	// prompt.
	storeBurst = 10_000
	// leastFetch is the fewest tokens that are fetched: fewer are read as soon.
	leastFetch = 128
	// errorCost is what a failed attempt costs its request: a new attempt after
	// about a second.
	errorCost = 1000.0
)

// peerLoadAge is how long what a peer said of its load counts.
const peerLoadAge = 2 * clock.Second

// memoryPart is the part of an engine's memory that is taken to keep parts of prompts:
// half, as running requests hold the other one when load is at its worst.
const memoryPart = 2

// Bounds of the factor between the expected and the real time to a first token,
// and the weight of the newest sight.
const (
	leastPace  = 0.5
	mostPace   = 8.0
	paceWeight = 0.1
	// paceFloor is the shortest expected time that says something about the pace.
	paceFloor = 20.0
)

// Placer is one instance's view of the load and the caches of all servers. It is
// not safe for concurrent use.
type Placer struct {
	own    map[string]Load
	placed map[string]placement
	peers  map[string]peerLoads
	kept   map[string]*kept
	paces  map[string]float64
	recent []sending
	barred map[string]bool
	// storeTokens are fetched from the store as of storeAt, by requests from here.
	storeTokens float64
	storeAt     clock.Millis
	// shared are the parts that are not the last of their prompts.
	shared map[uint64]struct{}
	// storeMemory is the memory of the store of kept parts in tokens; 0 for none.
	storeMemory int64
}

// placement is a request at its server.
type placement struct {
	choice    Choice
	began     clock.Millis
	answering bool
}

type peerLoads struct {
	loads map[string]Load
	at    clock.Millis
}

// New returns a Placer that knows of no load.
func New() *Placer {
	return &Placer{own: map[string]Load{}, placed: map[string]placement{}, peers: map[string]peerLoads{}, kept: map[string]*kept{}, paces: map[string]float64{}, shared: map[uint64]struct{}{}}
}

// Begin counts a request at its server.
func (p *Placer) Begin(now clock.Millis, request string, choice Choice) {
	p.End(request)
	p.placed[request] = placement{choice: choice, began: now}
	p.own[choice.Server] = p.own[choice.Server].plus(loadOf(choice))
	if choice.ask.plain() {
		return
	}
	known := p.keptAt(choice.Server)
	if choice.Memory > 0 {
		known.full = choice.Memory
		if !known.seen(now) {
			known.memory = choice.Memory / memoryPart
		}
	}
	if choice.Source == StoreID {
		p.noteStore(now, choice.ask.sharedTokens())
	}
	ready := now.Add(max(readTime, p.readingTime(choice.Server, choice.Load.Prefill+choice.Missed)))
	for i, part := range choice.ask.Parts {
		key := keyOf(choice.Salt, part.ID)
		known.use(now, ready, key, part.Tokens)
		if i < len(choice.ask.Parts)-1 {
			p.noteShared(key)
			p.recent = append(p.recent, sending{at: now, server: choice.Server, part: [2]uint64{key, uint64(part.Tokens)}})
		}
		if choice.Save {
			p.keptAt(StoreID).use(now, ready, key, part.Tokens)
			p.recent = append(p.recent, sending{at: now, server: StoreID, part: [2]uint64{key, uint64(part.Tokens)}})
		}
	}
	if len(p.recent) > maxRecent {
		p.recent = slices.Delete(p.recent, 0, len(p.recent)-maxRecent)
	}
}

// readingTime returns how long the server reads the tokens.
func (p *Placer) readingTime(server string, tokens int64) clock.Millis {
	return clock.Millis(p.pace(server) * float64(tokens) / prefillRate)
}

func (p *Placer) keptAt(server string) *kept {
	known, ok := p.kept[server]
	if !ok {
		known = newKept()
		if server == StoreID && p.storeMemory > 0 {
			known.memory, known.full = p.storeMemory, p.storeMemory
		}
		p.kept[server] = known
	}
	return known
}

func loadOf(choice Choice) Load {
	return Load{Requests: 1, Prefill: choice.Missed, Tokens: choice.Missed + choice.ask.Output}
}

// Answering notes that the request's answer has begun: its prompt has been read.
func (p *Placer) Answering(now clock.Millis, request string) {
	at, ok := p.placed[request]
	if !ok || at.answering {
		return
	}
	at.answering = true
	p.placed[request] = at
	server := at.choice.Server
	p.own[server] = p.own[server].plus(Load{Prefill: -at.choice.Missed})
	expected := at.choice.Wait + float64(at.choice.Missed)/prefillRate
	if at.choice.ask.plain() || expected < paceFloor {
		return
	}
	seen := float64(now.Since(at.began)) / expected
	p.paces[server] = min(mostPace, max(leastPace, p.pace(server)*(1-paceWeight)+seen*paceWeight))
}

// End stops counting the request.
func (p *Placer) End(request string) {
	at, ok := p.placed[request]
	if !ok {
		return
	}
	delete(p.placed, request)
	gone := loadOf(at.choice)
	if at.answering {
		gone.Prefill = 0
	}
	server := at.choice.Server
	p.own[server] = p.own[server].minus(gone)
	if p.own[server] == (Load{}) {
		delete(p.own, server)
	}
}

// Heard takes in the loads that a peer has placed, by server.
func (p *Placer) Heard(now clock.Millis, name string, loads map[string]Load) {
	p.peers[name] = peerLoads{loads: loads, at: now}
}

// Own returns the loads that this instance has placed, by server.
func (p *Placer) Own() map[string]Load {
	return p.own
}

// LoadAt returns the load of the server, of all instances.
func (p *Placer) LoadAt(now clock.Millis, server string) Load {
	load := p.own[server]
	for _, peer := range p.peers {
		if now.Since(peer.at) < peerLoadAge {
			load = load.plus(peer.loads[server])
		}
	}
	return load
}

// Forget drops what is known of the server's cache and pace: it is gone, or has
// come back empty.
func (p *Placer) Forget(server string) {
	delete(p.kept, server)
	delete(p.paces, server)
}
