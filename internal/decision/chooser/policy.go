package chooser

import (
	"cmp"
	"slices"
)

// Policy is a way to choose. Predicted is the system's; the others are baselines
// for experiments.
type Policy string

// The policies.
const (
	// Predicted takes the candidate with the least estimated work until the first
	// token; of equal ones the one with the highest hash.
	Predicted Policy = "predicted"
	// BoundedPrefix takes the candidate with the highest hash that is not full.
	BoundedPrefix Policy = "boundedPrefix"
	// PlainPrefix takes the candidate with the highest hash, however full.
	PlainPrefix Policy = "plainPrefix"
	// LeastInFlight takes the candidate with the fewest requests in flight.
	LeastInFlight Policy = "leastInFlight"
	// RoundRobin takes the candidates in turn.
	RoundRobin Policy = "roundRobin"
	// Random takes any candidate.
	Random Policy = "random"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Predicted, BoundedPrefix, PlainPrefix, LeastInFlight, RoundRobin, Random}
}

// index returns the place of the candidate that the policy takes.
func (p Policy) index(turn uint64, ranked []Scored) int {
	switch p {
	case PlainPrefix:
		return 0
	case LeastInFlight:
		return least(ranked)
	case RoundRobin:
		return byName(ranked, turn)
	case Random:
		return byName(ranked, Rendezvous(turn, "random"))
	case BoundedPrefix:
		return max(0, slices.IndexFunc(ranked, func(s Scored) bool { return !s.Full }))
	default:
		return cheapest(ranked)
	}
}

func cheapest(ranked []Scored) int {
	best := slices.MinFunc(ranked, func(a, b Scored) int { return cmp.Compare(a.Candidate.cost(), b.Candidate.cost()) })
	return slices.Index(ranked, best)
}

func least(ranked []Scored) int {
	best := slices.MinFunc(ranked, func(a, b Scored) int { return cmp.Compare(a.Candidate.InFlight, b.Candidate.InFlight) })
	return slices.Index(ranked, best)
}

// byName returns the place of the candidate whose turn it is in the order of the
// names.
func byName(ranked []Scored, turn uint64) int {
	names := make([]string, len(ranked))
	for i, scored := range ranked {
		names[i] = scored.Candidate.Name
	}
	slices.Sort(names)
	name := names[turn%uint64(len(names))]
	return slices.IndexFunc(ranked, func(s Scored) bool { return s.Candidate.Name == name })
}
