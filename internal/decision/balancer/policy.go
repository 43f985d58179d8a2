package balancer

import (
	"cmp"
	"slices"
)

// Policy is a load balancing policy. Predicted is used in production; the others are
// baselines for experiments.
type Policy string

// The policies.
const (
	// Predicted selects the candidate with the least estimated work until the first
	// token; among equals, the one with the highest hash.
	Predicted Policy = "predicted"
	// BoundedPrefix selects the candidate with the highest hash that is not full.
	BoundedPrefix Policy = "boundedPrefix"
	// PlainPrefix selects the candidate with the highest hash, even if it is full.
	PlainPrefix Policy = "plainPrefix"
	// LeastInFlight selects the candidate with the fewest in-flight requests.
	LeastInFlight Policy = "leastInFlight"
	// RoundRobin selects the candidates in the order of their names.
	RoundRobin Policy = "roundRobin"
	// Random selects a random candidate.
	Random Policy = "random"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Predicted, BoundedPrefix, PlainPrefix, LeastInFlight, RoundRobin, Random}
}

// pickIndex returns the index of the candidate that the policy selects.
func (p Policy) pickIndex(choiceNumber uint64, ranked []Scored) int {
	switch p {
	case PlainPrefix:
		return 0
	case LeastInFlight:
		return leastInFlightIndex(ranked)
	case RoundRobin:
		return indexByNameOrder(ranked, choiceNumber)
	case Random:
		return indexByNameOrder(ranked, Rendezvous(choiceNumber, "random"))
	case BoundedPrefix:
		return max(0, slices.IndexFunc(ranked, func(s Scored) bool { return !s.Full }))
	default:
		return lowestCostIndex(ranked)
	}
}

func lowestCostIndex(ranked []Scored) int {
	best := slices.MinFunc(ranked, func(a, b Scored) int { return cmp.Compare(a.Candidate.costTokens(), b.Candidate.costTokens()) })
	return slices.Index(ranked, best)
}

func leastInFlightIndex(ranked []Scored) int {
	best := slices.MinFunc(ranked, func(a, b Scored) int { return cmp.Compare(a.Candidate.InFlight, b.Candidate.InFlight) })
	return slices.Index(ranked, best)
}

// indexByNameOrder returns the index of the candidate at the position, modulo the number
// of candidates, in the order of the names.
func indexByNameOrder(ranked []Scored, position uint64) int {
	names := make([]string, len(ranked))
	for i, scored := range ranked {
		names[i] = scored.Candidate.Name
	}
	slices.Sort(names)
	name := names[position%uint64(len(names))]
	return slices.IndexFunc(ranked, func(s Scored) bool { return s.Candidate.Name == name })
}
