// Package organizer arranges the instances of a cluster for the exchange of their states,
// so that an instance exchanges messages with a bounded number of others.
//
// Load pattern: hundreds of small instances start, stop and are partitioned, while each
// must know the sum of the load that all of them place.
//
// A few instances of each failure domain are at the top level. They exchange messages with
// each other. Every other instance exchanges messages with one instance above it, its
// upstream, and with at most fanOut instances below it. In a small cluster all instances
// are at the top level. The arrangement follows from the list of instances alone, so that
// all instances compute the same one without an agreement. Two instances with different
// lists may disagree; that costs quality and breaks no guarantee, because sums only
// estimate load, and limits are divided by the instances that are reachable.
//
// # Usage
//
//	arrangement := organizer.Arrange("edge-1", members)
//	if !arrangement.IsTop() {
//		for _, name := range arrangement.Upstreams() { ... }
//	}
package organizer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
)

const (
	// maxTops limits the instances at the top level where there are fewer failure
	// domains than that. A cluster of up to this size has no other level.
	maxTops = 10
	// fanOut is the number of instances directly below an instance.
	fanOut = 5
)

// Member is one instance of the cluster.
type Member struct {
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Capacity orders the members of a domain: those with more processor time come first.
	Capacity int64
}

// Arrangement is the position of one instance among the others. Values are immutable.
type Arrangement struct {
	isTop     bool
	upstreams []string
	tops      []string
	ranks     map[string]int
	domains   map[string][]string
	// topsPerDomain is the number of instances of each domain at the top level.
	topsPerDomain int
}

// Arrange returns the arrangement as the instance self computes it. Members need not
// contain self.
func Arrange(self string, members []Member) Arrangement {
	domains := domainsInOrder(members)
	topsPerDomain := max(1, maxTops/max(1, len(domains)))
	arrangement := Arrangement{ranks: map[string]int{}, domains: domains, topsPerDomain: topsPerDomain}
	type ranked struct {
		name     string
		position int
	}
	var all []ranked
	ownDomain, ownPosition := "", -1
	for domain, names := range domains {
		for position, name := range names {
			all = append(all, ranked{name: name, position: position})
			if name == self {
				ownDomain, ownPosition = domain, position
			}
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.position, b.position), compareHashes(a.name, b.name))
	})
	for rank, entry := range all {
		arrangement.ranks[entry.name] = rank
		if entry.position < topsPerDomain {
			arrangement.tops = append(arrangement.tops, entry.name)
		}
	}
	arrangement.isTop = ownPosition < topsPerDomain
	if !arrangement.isTop {
		arrangement.upstreams = upstreams(domains[ownDomain], ownPosition, topsPerDomain, arrangement.tops)
	}
	return arrangement
}

// domainsInOrder returns the names of each domain's members, the first at the top.
func domainsInOrder(members []Member) map[string][]string {
	byDomain := map[string][]Member{}
	for _, member := range members {
		byDomain[member.Domain] = append(byDomain[member.Domain], member)
	}
	domains := make(map[string][]string, len(byDomain))
	for domain, listed := range byDomain {
		slices.SortFunc(listed, func(a, b Member) int {
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), compareHashes(a.Name, b.Name))
		})
		for _, member := range listed {
			domains[domain] = append(domains[domain], member.Name)
		}
	}
	return domains
}

func compareHashes(a, b string) int {
	return cmp.Or(cmp.Compare(balancer.Rendezvous(0, b), balancer.Rendezvous(0, a)), cmp.Compare(a, b))
}

// upstreams returns the instances that may be above the one at the position, the best
// first: its usual upstream, the top level of its domain, the other members before it, and
// the top level of other domains. As all of them precede it, or are at the top level, no
// instance is above itself.
func upstreams(domain []string, position, topsPerDomain int, tops []string) []string {
	candidates := []string{domain[(position-topsPerDomain)/fanOut]}
	add := func(name string) {
		if !slices.Contains(candidates, name) {
			candidates = append(candidates, name)
		}
	}
	for i := range topsPerDomain {
		add(domain[(position+i)%topsPerDomain])
	}
	for i := topsPerDomain; i < position; i++ {
		add(domain[topsPerDomain+(position+i)%(position-topsPerDomain)])
	}
	for i := range tops {
		add(tops[(position+i)%len(tops)])
	}
	return candidates
}

// IsTop reports whether the instance is at the top level. One that is not listed is.
func (a Arrangement) IsTop() bool { return a.isTop }

// Upstreams returns the instances that may be directly above this one, the best first. It
// returns none for an instance at the top level.
func (a Arrangement) Upstreams() []string { return a.upstreams }

// Tops returns the instances at the top level, by rank.
func (a Arrangement) Tops() []string { return a.tops }

// Flat reports whether all instances are at the top level.
func (a Arrangement) Flat() bool { return len(a.tops) == len(a.ranks) }

// Size returns the number of instances.
func (a Arrangement) Size() int { return len(a.ranks) }

// Rank returns the instance's rank among all, from 0 for the first at the top level. An
// instance that is not listed comes last.
func (a Arrangement) Rank(name string) int {
	if rank, ok := a.ranks[name]; ok {
		return rank
	}
	return len(a.ranks)
}

// Domains returns the names of all failure domains, sorted.
func (a Arrangement) Domains() []string { return slices.Sorted(maps.Keys(a.domains)) }

// Domain returns the names of a domain's instances, the first at the top level.
func (a Arrangement) Domain(domain string) []string { return a.domains[domain] }

// Leaves returns the names of a domain's instances that usually have none below them.
func (a Arrangement) Leaves(domain string) []string {
	names := a.domains[domain]
	inner := (len(names) - a.topsPerDomain + fanOut - 1) / fanOut
	return names[min(max(a.topsPerDomain, inner), len(names)):]
}
