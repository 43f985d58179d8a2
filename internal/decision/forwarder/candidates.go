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
	service := f.state.Services[fl.service]
	updating := f.updating()
	var candidates []placer.Candidate
	for _, server := range f.servers.Available(f.now, fl.service) {
		if server.Down() || fl.tried[server.ID] || updating[server.ID] {
			continue
		}
		candidate := placer.Candidate{
			Server: server.ID, OtherDomain: server.Domain != f.site.Domain, ErrorRate: server.ErrorRate(f.now),
			MemoryTokens: service.CacheTokens, Slots: server.Slots,
		}
		if !fl.plain() {
			version, serves := server.Entry.WeightVersions[fl.request.Model]
			if !serves {
				continue
			}
			var usable bool
			if candidate.PenaltyMs, candidate.MaxStartDelayMs, usable = f.agePenalty(fl.request.Model, version); !usable {
				continue
			}
			candidate.Salt = f.salt(fl, version)
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// barred returns the servers from which nothing can be fetched.
func (f *Forwarder) barred() map[string]bool {
	barred := f.updating()
	for _, server := range f.servers.All() {
		if server.Down() || server.ErrorRate(f.now) > 0.5 {
			barred[server.ID] = true
		}
	}
	return barred
}

// salt keeps cached parts apart by model, weights and, where a team is isolated, by
// team.
func (f *Forwarder) salt(fl *flight, version int64) string {
	wall := ""
	if fl.team.Isolated {
		wall = fl.team.Name
	}
	return fmt.Sprintf("%s@%d/%s", fl.request.Model, version, wall)
}

// Costs of old weights, in milliseconds of waiting.
const (
	// oldAfter is the part of the bound for old weights, in sixths, from which an
	// answer made on them is worth less.
	oldAfter = 1
	// oldCost is what an answer on old weights counts for: about a late answer's
	// part.
	oldCost = 150.0
	// newerCost is the preference for new weights before that.
	newerCost = 10.0
	// oldMargin is kept before the bound, for the way to the engine and its queue.
	oldMargin = 500 * clock.Millisecond
)

// agePenalty returns what the version of the weights costs, the time within which a
// request must begin on it, and whether it may still.
func (f *Forwarder) agePenalty(model string, version int64) (penalty, until float64, usable bool) {
	since, old := f.orders.SupersededAt(model, version)
	if !old {
		return 0, 0, true
	}
	age := f.now.Since(since)
	bound := f.site.Bounds.WeightsApply
	left := bound - oldMargin - age
	switch {
	case left <= 0:
		return 0, 0, false
	case age > bound*oldAfter/6:
		return oldCost, float64(left), true
	default:
		return newerCost, float64(left), true
	}
}

// keptCache returns the store of kept parts: the first by name in the own failure
// domain, or else of all.
func (f *Forwarder) keptCache() desired.Service {
	var chosen desired.Service
	for _, name := range slices.Sorted(maps.Keys(f.state.Services)) {
		service := f.state.Services[name]
		if service.CacheStoreAddress != "" && (chosen.CacheStoreAddress == "" || service.Domain == f.site.Domain && chosen.Domain != f.site.Domain) {
			chosen = service
		}
	}
	return chosen
}

// addressOf returns the server's address; empty for one that is not known.
func (f *Forwarder) addressOf(id string) string {
	if id == placer.StoreID {
		return f.keptCache().CacheStoreAddress
	}
	server, ok := f.servers.Server(id)
	if !ok {
		return ""
	}
	return server.Address
}
