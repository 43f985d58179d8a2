// Package balancer selects a backend server for a request by a load balancing policy.
// Several policies rank the servers by the rendezvous hash of the request's prefix, so
// that requests with the same prefix tend to reach the same server and reuse the blocks
// that it has cached.
//
// # Usage
//
//	choice, ok := balancer.Choose(balancer.Predicted, prefixHash, choiceNumber, candidates)
package balancer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// A server is full for BoundedPrefix if its in-flight requests reach loadFactorPercent of
// the mean per server, rounded up. The mean includes the request to be sent.
const (
	loadFactorPercent = 125
	percent           = 100
)

// inFlightCostTokens is the cost of an in-flight request, in tokens.
const inFlightCostTokens = 32

// Candidate is a server that could run the request.
type Candidate struct {
	Name string
	// InFlight is the number of requests that this instance has sent there and that
	// have not ended.
	InFlight int
	// QueuedTokens are the prompt tokens sent there whose first token has not been
	// received, and UncachedTokens those of this request that are not cached there.
	// Both are estimates.
	QueuedTokens   int64
	UncachedTokens int64
}

// costTokens returns the estimated number of tokens to process until the first token.
func (c Candidate) costTokens() int64 {
	return c.QueuedTokens + c.UncachedTokens + int64(c.InFlight)*inFlightCostTokens
}

// Scored is a candidate with its rendezvous hash for the request's prefix.
type Scored struct {
	Candidate Candidate
	Hash      uint64
	// Full is set if the candidate has reached the bound on its in-flight requests.
	Full bool
}

// String returns the candidate as "name/in flight/queued tokens/uncached tokens".
func (s Scored) String() string {
	numbers := []int64{int64(s.Candidate.InFlight), s.Candidate.QueuedTokens, s.Candidate.UncachedTokens}
	text := s.Candidate.Name
	for _, number := range numbers {
		text += "/" + strconv.FormatInt(number, 10)
	}
	return text
}

// Choice is the chosen candidate and all candidates, the highest hash first.
type Choice struct {
	Chosen Candidate
	Ranked []Scored
}

// Choose returns the candidate that the policy selects for the prefix. ChoiceNumber
// counts the choices, for RoundRobin and Random. It reports false if there is no
// candidate.
func Choose(policy Policy, prefixHash, choiceNumber uint64, candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	ranked := rank(prefixHash, candidates)
	i := policy.pickIndex(choiceNumber, ranked)
	return Choice{Chosen: ranked[i].Candidate, Ranked: ranked}, true
}

func rank(prefixHash uint64, candidates []Candidate) []Scored {
	threshold := fullThreshold(candidates)
	ranked := make([]Scored, len(candidates))
	for i, candidate := range candidates {
		ranked[i] = Scored{Candidate: candidate, Hash: Rendezvous(prefixHash, candidate.Name), Full: candidate.InFlight >= threshold}
	}
	slices.SortFunc(ranked, func(a, b Scored) int {
		return cmp.Or(cmp.Compare(b.Hash, a.Hash), cmp.Compare(a.Candidate.Name, b.Candidate.Name))
	})
	return ranked
}

// fullThreshold returns the number of in-flight requests from which a server is full.
func fullThreshold(candidates []Candidate) int {
	total := 1
	for _, candidate := range candidates {
		total += candidate.InFlight
	}
	scaled := total * loadFactorPercent
	divisor := len(candidates) * percent
	return (scaled + divisor - 1) / divisor
}

// Rendezvous returns the rendezvous hash of the named node for the key; the node with
// the highest hash owns the key.
func Rendezvous(key uint64, name string) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], key)
	hash := xxhash.New()
	hash.Write(bytes[:])
	hash.WriteString(name)
	return hash.Sum64()
}
