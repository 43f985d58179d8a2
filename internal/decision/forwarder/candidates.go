package forwarder

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// candidates returns the servers that may take the request now. Those that failed it
// before, and those that are down, are left out.
func (f *Forwarder) candidates(fl *flight) []placer.Candidate {
	service := f.desired.Services[fl.service]
	updating := f.loadingEngines()
	var candidates []placer.Candidate
	for _, server := range f.servers.Of(f.now, fl.service) {
		if server.Down() || fl.triedServers[server.ID] || updating[server.ID] {
			continue
		}
		candidate := placer.Candidate{
			Server: server.ID, Far: server.Domain != f.settings.Domain, Errors: server.ErrorRate(f.now),
			Memory: service.CacheTokens, Slots: server.Slots,
		}
		if !fl.withoutPrompt() {
			version, serves := server.Entry.Weights[fl.request.Model]
			if !serves {
				continue
			}
			var usable bool
			if candidate.Penalty, candidate.Until, usable = f.weightsPenalty(fl.request.Model, version); !usable {
				continue
			}
			candidate.Salt = f.cacheSalt(fl, version)
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// excludedSources returns the servers from which nothing can be fetched.
func (f *Forwarder) excludedSources() map[string]bool {
	barred := f.loadingEngines()
	for _, server := range f.servers.All() {
		if server.Down() || server.ErrorRate(f.now) > 0.5 {
			barred[server.ID] = true
		}
	}
	return barred
}

// cacheSalt keeps cached parts apart by model, weights and, where a team is isolated, by
// team.
func (f *Forwarder) cacheSalt(fl *flight, version int64) string {
	wall := ""
	if fl.team.Isolated {
		wall = fl.team.Name
	}
	return fmt.Sprintf("%s@%d/%s", fl.request.Model, version, wall)
}

// Costs of old weights, in milliseconds of waiting.
const (
	// fullPenaltyAfterSixths is the part of the bound for old weights, in sixths, from which an
	// answer made on them is worth less.
	fullPenaltyAfterSixths = 1
	// fullPenaltyMs is what an answer on old weights counts for: about a late answer's
	// part.
	fullPenaltyMs = 150.0
	// slightPenaltyMs is the preference for new weights before that.
	slightPenaltyMs = 10.0
	// weightsAgeMargin is kept before the bound, for the way to the engine and its queue.
	weightsAgeMargin = 500 * clock.Millisecond
)

// weightsPenalty returns what the version of the weights costs, the time within which a
// request must begin on it, and whether it may still.
func (f *Forwarder) weightsPenalty(model string, version int64) (penalty, until float64, usable bool) {
	since, old := f.rollout.Superseded(model, version)
	if !old {
		return 0, 0, true
	}
	age := f.now.Since(since)
	bound := f.settings.Bounds.WeightsApply
	left := bound - weightsAgeMargin - age
	switch {
	case left <= 0:
		return 0, 0, false
	case age > bound*fullPenaltyAfterSixths/6:
		return fullPenaltyMs, float64(left), true
	default:
		return slightPenaltyMs, float64(left), true
	}
}

// cacheStore returns the store of kept parts: the first by name in the own failure
// domain, or else of all.
func (f *Forwarder) cacheStore() desired.Service {
	var chosen desired.Service
	for _, name := range slices.Sorted(maps.Keys(f.desired.Services)) {
		service := f.desired.Services[name]
		if service.KeptCache != "" && (chosen.KeptCache == "" || service.Domain == f.settings.Domain && chosen.Domain != f.settings.Domain) {
			chosen = service
		}
	}
	return chosen
}

// addressOf returns the server's address; empty for one that is not known.
func (f *Forwarder) addressOf(id string) string {
	if id == placer.StoreID {
		return f.cacheStore().KeptCache
	}
	server, ok := f.servers.Server(id)
	if !ok {
		return ""
	}
	return server.Address
}
