package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
)

const (
	// originCopies is the number of instances that keep the origin of a stream, besides
	// the one that began it.
	originCopies = 3
	// spareRanks is how many instances more are asked in a failure domain than usually
	// keep an origin there: the lists of instances may differ while some are added.
	spareRanks = 1
	// maxKeeperDomains limits the failure domains whose instances are asked.
	maxKeeperDomains = 8
)

// originKeepers returns the instances that keep the origin of a stream that begins here:
// one of this failure domain, for the lowest delay, and others elsewhere, for the case that
// the domain is cut off. Instances that pass on digests to others keep none.
func (f *Forwarder) originKeepers(stream string) []string {
	domains := originkeeper.Rank(stream, f.arrangement.Domains(), maxKeeperDomains)
	if own := slices.Index(domains, f.settings.Domain); own > 0 {
		domains = slices.Concat([]string{f.settings.Domain}, domains[:own], domains[own+1:])
	}
	return f.rankedInstances(stream, domains, originCopies, f.settings.Name)
}

// possibleOriginKeepers returns the instances that may keep the origin of a stream, wherever
// it began.
func (f *Forwarder) possibleOriginKeepers(stream string) []string {
	domains := originkeeper.Rank(stream, f.arrangement.Domains(), maxKeeperDomains)
	ranks := (originCopies+len(domains)-1)/max(1, len(domains)) + spareRanks
	return f.rankedInstances(stream, domains, ranks*len(domains), "")
}

// rankedInstances returns the first instances of each domain in turn, up to a limit and
// without the excluded one.
func (f *Forwarder) rankedInstances(stream string, domains []string, limit int, excluded string) []string {
	ranked := make([][]string, len(domains))
	for i, domain := range domains {
		names := f.arrangement.Leaves(domain)
		if len(names) == 0 {
			names = f.arrangement.Domain(domain)
		}
		names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == excluded })
		ranked[i] = originkeeper.Rank(stream, names, limit)
	}
	var instances []string
	for rank := 0; rank < limit; rank++ {
		for _, names := range ranked {
			if rank < len(names) && len(instances) < limit {
				instances = append(instances, names[rank])
			}
		}
	}
	return instances
}

// tellsOneKeeper reports whether the instance tells only one keeper where a stream began,
// which then tells the others: at the top level, digests already take as many datagrams as
// an instance may send.
func (f *Forwarder) tellsOneKeeper() bool {
	return f.arrangement.IsTop() && !f.arrangement.Flat()
}

// addressesOf returns the peer addresses of other instances.
func (f *Forwarder) addressesOf(names []string) []string {
	var addresses []string
	for _, name := range names {
		if address := f.peers[digest.ID(name)].Address; address != "" && name != f.settings.Name {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
