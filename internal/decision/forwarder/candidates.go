package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
)

// candidates returns the servers that can take the request now. It excludes servers
// that already had an attempt of it, those that are down, load weights or pause and, for a
// stream that goes on, those of another software version.
func (f *Forwarder) candidates(fl *flight) []scheduler.Candidate {
	servers := f.servers.Available(f.now, fl.service)
	candidates := f.candidatesAmong(fl, f.serversInExposure(fl, servers))
	if len(candidates) == 0 && fl.draw.toTarget && fl.draw.phase == exposurekeeper.Trial {
		// No server of the trial can take the request now.
		fl.draw.toTarget = false
		candidates = f.candidatesAmong(fl, f.serversInExposure(fl, servers))
	}
	return candidates
}

// candidatesAmong returns those of the servers that can take the request now.
func (f *Forwarder) candidatesAmong(fl *flight, servers []registry.Server) []scheduler.Candidate {
	service := f.desired.Services[fl.service]
	loading, hasHop := f.loadingEngines(), f.paths.AllOpen() || f.hasHop()
	var candidates []scheduler.Candidate
	for _, server := range servers {
		if server.Down() || fl.triedServers[server.ID] || loading[server.ID] || f.holdsBack(server) || !fl.mayRunAt(server) || !f.hasWay(server.ID, hasHop) {
			continue
		}
		if wait, holds := f.limitWait(server); wait > 0 || !holds || !f.hasRoom(server) {
			continue
		}
		candidate := scheduler.Candidate{
			Server: server.ID, OtherDomain: server.Domain != f.settings.Domain, ErrorRate: server.ErrorRate(f.now),
			MemoryTokens: service.CacheTokens, Slots: server.Slots, Salt: f.cacheSalt(fl, server),
		}
		weights := fl.weightsAt(server)
		if fl.hasPrompt() {
			if _, serves := server.Entry.WeightVersions[fl.request.Model]; !serves {
				continue
			}
		}
		var usable bool
		if candidate.PenaltyMs, usable = f.weightsPenalty(weights); !usable || !f.limitBeginning(fl, &candidate, weights) {
			continue
		}
		if f.paths.Blocked(server.ID) {
			candidate.PenaltyMs += hopCost
		}
		candidates = append(candidates, candidate)
	}
	return f.withCertainStarts(fl, candidates)
}

// excludedSources returns the servers from which no cached parts can be fetched.
func (f *Forwarder) excludedSources() map[string]bool {
	excluded := f.loadingEngines()
	for _, server := range f.servers.All() {
		if server.Down() || server.Paused(f.now) || server.ErrorRate(f.now) > 0.5 {
			excluded[server.ID] = true
		}
	}
	return excluded
}

// cacheSalt returns the salt of the request's cached parts at the server. It is empty for a request that
// needs none: at a server without weights or, without a known prompt, while no team is isolated.
func (f *Forwarder) cacheSalt(fl *flight, server registry.Server) string {
	if len(server.Entry.WeightVersions) == 0 || !fl.hasPrompt() && f.salter.Common() == "" {
		return ""
	}
	model, version, _ := fl.weightsAt(server).sole()
	return f.salter.Salt(model, version, fl.team)
}

// Penalties for superseded weights, in milliseconds of waiting time.
const (
	// fullPenaltyAgeSixths is the age of superseded weights, in sixths of the age
	// limit, from which a response made with them is worth less.
	fullPenaltyAgeSixths = 1
	// fullPenaltyMs is the penalty from that age on: a response made with such weights
	// loses about as much of its worth as a late one.
	fullPenaltyMs = 150.0
	// slightPenaltyMs is the penalty before that age, a slight preference for new
	// weights.
	slightPenaltyMs = 10.0
)

// weightsPenalty returns the penalty for the weights, and whether they are still usable.
func (f *Forwarder) weightsPenalty(weights boundWeights) (penaltyMs float64, usable bool) {
	supersededAt, superseded := f.supersededAt(weights)
	if !superseded {
		return 0, true
	}
	age, maxAge := f.now.Since(supersededAt), f.settings.Bounds.MaxWeightsAge
	switch {
	case age >= maxAge-beginMargin-sendMargin:
		return 0, false
	case age > maxAge*fullPenaltyAgeSixths/6:
		return fullPenaltyMs, true
	default:
		return slightPenaltyMs, true
	}
}

// cacheStore returns the cache store service: the first by name in the instance's
// failure domain, or else the first by name of all.
func (f *Forwarder) cacheStore() desired.Service {
	var store desired.Service
	for _, name := range slices.Sorted(maps.Keys(f.desired.Services)) {
		service := f.desired.Services[name]
		if service.CacheStoreAddress != "" && (store.CacheStoreAddress == "" || service.Domain == f.settings.Domain && store.Domain != f.settings.Domain) {
			store = service
		}
	}
	return store
}

// addressOf returns the server's address; empty if the server is unknown.
func (f *Forwarder) addressOf(id string) string {
	if id == scheduler.StoreID {
		return f.cacheStore().CacheStoreAddress
	}
	server, ok := f.servers.Server(id)
	if !ok {
		return ""
	}
	return server.Address
}
