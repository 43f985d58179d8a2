// Package scheduler selects the server of a request by the expected time to its first
// token: the prompts queued ahead of it, the prompt parts that the server has not
// cached, and the memory that the request needs.
//
// Load pattern: a few hundred prompts share long parts, more of them than one engine
// can cache. Some are far more frequent than others, and the engines that have them
// cached must not saturate while others idle.
//
// Prompts that share a part are sent to the owner of that part, the server with the
// highest rendezvous hash, which all instances compute alike. A request goes to another
// server if that one would respond sooner although it has to fetch the shared parts
// from a server that has them, or to prefill them again. The load that other instances
// have placed is known from their broadcasts, which are some hundred milliseconds old.
//
// # Usage
//
//	sched := scheduler.New()
//	choice, ok := sched.Choose(now, request, candidates)
//	sched.Begin(now, requestID, choice)
//	sched.ResponseStarted(now, requestID)
//	sched.End(requestID)
package scheduler

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Costs are in milliseconds, rates in tokens per millisecond.
const (
	// defaultPrefillRate is the prefill rate of an engine that is not slowed down:
	// about that of the platform's engines.
	defaultPrefillRate = 40.0
	// runningRequestCost is the delay that each running request adds to a new one.
	runningRequestCost = 1.0
	// plainRequestCost is the wait for each running request of a plain service:
	// requests there usually take between 15 and 60 ms and share a few slots.
	plainRequestCost = 10.0
	// crossDomainCost is the round trip to another failure domain.
	crossDomainCost = 3.0
	// saturationCost is the wait for free memory or a free slot: about the duration of
	// a request.
	saturationCost = 300.0
	// nonOwnerCost is added for a server that neither owns the shared parts nor has
	// them cached. It keeps each part on few servers, as their memory is short.
	nonOwnerCost = 20.0
	// fetchCost is the transfer of cached parts from another server: a gigabyte over
	// its link.
	fetchCost = 8.0
	// storeFetchRate is the rate at which the cache store sends tokens over its link,
	// which all engines share.
	storeFetchRate = 100.0
	// maxStoreBacklog is the number of tokens in transfer from the cache store,
	// estimated from this instance's share of its link, above which parts are fetched
	// from an engine if one has as many of them. It is the length of a long prompt.
	maxStoreBacklog = 10_000
	// minFetchTokens is the smallest fetch: prefilling fewer tokens takes no longer.
	minFetchTokens = 128
	// errorCost is the cost of a failed attempt: the request is retried after about a
	// second.
	errorCost = 1000.0
)

// peerLoadTimeout is the age after which a peer's broadcast load is ignored.
const peerLoadTimeout = 2 * clock.Second

// cacheMemoryDivisor gives the fraction of an engine's memory that is assumed to hold
// cached parts: half, as running requests take the other half at the highest load.
const cacheMemoryDivisor = 2

// The slowdown of a server is the ratio of the measured to the expected time to first
// token, as a moving average.
const (
	minSlowdown = 0.5
	maxSlowdown = 8.0
	// slowdownWeight is the weight of the newest measurement.
	slowdownWeight = 0.1
	// minExpectedMs is the expected time below which a measurement is ignored, as it is
	// too short to show a slowdown.
	minExpectedMs = 20.0
)

// Scheduler is one instance's view of the load and the caches of all servers. It is
// not safe for concurrent use.
type Scheduler struct {
	ownLoads        map[string]Load            // ownLoads is keyed by server.
	inFlight        map[string]inFlightRequest // inFlight is keyed by request ID.
	peerLoads       map[string]peerLoad        // peerLoads is keyed by instance.
	caches          map[string]*serverCache    // caches is keyed by server.
	slowdowns       map[string]float64         // slowdowns is keyed by server.
	recentlySent    []sentPart
	excludedSources map[string]bool
	// storeBacklog is the number of tokens in transfer from the cache store for this
	// instance's requests at storeBacklogAt.
	storeBacklog   float64
	storeBacklogAt clock.Millis
	// sharedParts has the keys of parts that were not the last part of their prompt.
	sharedParts map[uint64]struct{}
	// storeCapacity is the memory of the cache store in tokens; 0 without a store.
	storeCapacity int64
	// instances is the number of instances that share the cache store's link.
	instances int
}

// inFlightRequest is an in-flight request with its server.
type inFlightRequest struct {
	choice          Choice
	startedAt       clock.Millis
	responseStarted bool
}

type peerLoad struct {
	loads      map[string]Load
	receivedAt clock.Millis
}

// New returns a Scheduler without any load.
func New() *Scheduler {
	return &Scheduler{ownLoads: map[string]Load{}, inFlight: map[string]inFlightRequest{}, peerLoads: map[string]peerLoad{}, caches: map[string]*serverCache{}, slowdowns: map[string]float64{}, sharedParts: map[uint64]struct{}{}}
}

// Begin records that the request is sent to the chosen server.
func (s *Scheduler) Begin(now clock.Millis, requestID string, choice Choice) {
	s.End(requestID)
	s.inFlight[requestID] = inFlightRequest{choice: choice, startedAt: now}
	s.ownLoads[choice.Server] = s.ownLoads[choice.Server].Plus(loadOf(choice))
	if choice.request.plain() {
		return
	}
	cache := s.cacheOf(choice.Server)
	if choice.MemoryTokens > 0 {
		cache.totalMemory = choice.MemoryTokens
		if !cache.hasRecentReport(now) {
			cache.capacity = choice.MemoryTokens / cacheMemoryDivisor
		}
	}
	if choice.FetchSource == StoreID {
		s.addStoreFetch(now, choice.request.sharedTokens())
	}
	readyAt := now.Add(max(minPrefillTime, s.PrefillTime(choice.Server, choice.Load.PrefillTokens+choice.UncachedTokens)))
	for i, part := range choice.request.Parts {
		key := partKey(choice.Salt, part.ID)
		confirmed := cache.confirmedTokens(now, key) >= part.Tokens
		cache.recordSent(now, readyAt, key, part.Tokens)
		if i < len(choice.request.Parts)-1 {
			s.markShared(key)
			s.recentlySent = append(s.recentlySent, sentPart{sentAt: now, server: choice.Server, part: [2]uint64{key, uint64(part.Tokens)}, confirmed: confirmed})
		}
		if choice.SaveToStore {
			s.cacheOf(StoreID).recordSent(now, readyAt, key, part.Tokens)
			s.recentlySent = append(s.recentlySent, sentPart{sentAt: now, server: StoreID, part: [2]uint64{key, uint64(part.Tokens)}})
		}
	}
	if len(s.recentlySent) > maxRecentlySent {
		s.recentlySent = slices.Delete(s.recentlySent, 0, len(s.recentlySent)-maxRecentlySent)
	}
}

// PrefillTime returns the time that the server takes to prefill the tokens.
func (s *Scheduler) PrefillTime(server string, tokens int64) clock.Millis {
	return clock.Millis(s.slowdown(server) * float64(tokens) / defaultPrefillRate)
}

func (s *Scheduler) cacheOf(server string) *serverCache {
	cache, ok := s.caches[server]
	if !ok {
		cache = newServerCache()
		if server == StoreID && s.storeCapacity > 0 {
			cache.capacity, cache.totalMemory = s.storeCapacity, s.storeCapacity
		}
		s.caches[server] = cache
	}
	return cache
}

func loadOf(choice Choice) Load {
	return Load{Requests: 1, PrefillTokens: choice.UncachedTokens, MemoryTokens: choice.UncachedTokens + choice.request.OutputTokens}
}

// ResponseStarted records the first token of the response: the prompt is prefilled.
func (s *Scheduler) ResponseStarted(now clock.Millis, requestID string) {
	inFlight, ok := s.inFlight[requestID]
	if !ok || inFlight.responseStarted {
		return
	}
	inFlight.responseStarted = true
	s.inFlight[requestID] = inFlight
	server := inFlight.choice.Server
	s.ownLoads[server] = s.ownLoads[server].Plus(Load{PrefillTokens: -inFlight.choice.UncachedTokens})
	expected := inFlight.choice.QueueMs + float64(inFlight.choice.UncachedTokens)/defaultPrefillRate
	if inFlight.choice.request.plain() || expected < minExpectedMs {
		return
	}
	ratio := float64(now.Since(inFlight.startedAt)) / expected
	s.slowdowns[server] = min(maxSlowdown, max(minSlowdown, s.slowdown(server)*(1-slowdownWeight)+ratio*slowdownWeight))
}

// End removes the request from the load of its server.
func (s *Scheduler) End(requestID string) {
	inFlight, ok := s.inFlight[requestID]
	if !ok {
		return
	}
	delete(s.inFlight, requestID)
	released := loadOf(inFlight.choice)
	if inFlight.responseStarted {
		released.PrefillTokens = 0
	}
	server := inFlight.choice.Server
	s.ownLoads[server] = s.ownLoads[server].Minus(released)
	if s.ownLoads[server] == (Load{}) {
		delete(s.ownLoads, server)
	}
}

// ReceiveLoads replaces the loads, by server, that a peer has placed.
func (s *Scheduler) ReceiveLoads(now clock.Millis, peer string, loads map[string]Load) {
	s.peerLoads[peer] = peerLoad{loads: loads, receivedAt: now}
}

// OwnLoads returns the loads that this instance has placed, by server.
func (s *Scheduler) OwnLoads() map[string]Load {
	return s.ownLoads
}

// OwnRequests returns the number of requests that this instance has placed on the server.
func (s *Scheduler) OwnRequests(server string) int { return s.ownLoads[server].Requests }

// PlacedLoads returns the loads that this instance and the given peers have placed, by
// server.
func (s *Scheduler) PlacedLoads(now clock.Millis, peers []string) map[string]Load {
	loads := maps.Clone(s.ownLoads)
	for _, name := range peers {
		peer, ok := s.peerLoads[name]
		if !ok || now.Since(peer.receivedAt) >= peerLoadTimeout {
			continue
		}
		for server, load := range peer.loads {
			loads[server] = loads[server].Plus(load)
		}
	}
	return loads
}

// ForgetLoads drops the loads of a peer.
func (s *Scheduler) ForgetLoads(peer string) { delete(s.peerLoads, peer) }

// ServerLoad returns the load that all instances have placed on the server.
func (s *Scheduler) ServerLoad(now clock.Millis, server string) Load {
	load := s.ownLoads[server]
	for _, peer := range s.peerLoads {
		if now.Since(peer.receivedAt) < peerLoadTimeout {
			load = load.Plus(peer.loads[server])
		}
	}
	return load
}

// Forget drops the view of the server's cache and its slowdown: it was removed, or has
// restarted with an empty cache.
func (s *Scheduler) Forget(server string) {
	delete(s.caches, server)
	delete(s.slowdowns, server)
}

// Retain drops the views of all servers except those for which keep returns true.
func (s *Scheduler) Retain(keep func(server string) bool) {
	maps.DeleteFunc(s.caches, func(server string, _ *serverCache) bool { return !keep(server) })
	maps.DeleteFunc(s.slowdowns, func(server string, _ float64) bool { return !keep(server) })
}
